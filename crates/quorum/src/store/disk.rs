//! The file operations that a store needs, as a trait so that tests can inject
//! failures.

use std::{
    fs,
    io::{self, Write as _},
    path::PathBuf,
};

/// A folder and the operations on its files.
///
/// Appended bytes are durable only after [`sync`](Self::sync); new, renamed and
/// removed names only after [`sync_folder`](Self::sync_folder).
pub trait Disk {
    /// An open file.
    type File;

    /// Locks the folder for this process until this value is dropped.
    ///
    /// Fails with [`io::ErrorKind::WouldBlock`] if another process holds the lock.
    fn lock(&mut self) -> io::Result<()>;

    /// Names of all files in the folder.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, or truncates an existing one.
    fn create(&mut self, name: &str) -> io::Result<Self::File>;

    /// Appends bytes; after an error some of them may be in the file.
    fn append(&mut self, file: &mut Self::File, bytes: &[u8]) -> io::Result<()>;

    /// Makes a file's content durable.
    fn sync(&mut self, file: &mut Self::File) -> io::Result<()>;

    /// Renames a file, replacing one that has the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes creations, renames and removals durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}

const LOCK_FILE: &str = "lock";

/// A folder of the file system.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    lock: Option<fs::File>,
}

impl Folder {
    /// Opens the folder at `path`, and creates it if it doesn't exist.
    pub fn new(path: impl Into<PathBuf>) -> io::Result<Self> {
        let path = path.into();
        fs::create_dir_all(&path)?;
        // Without this sync, a crash could lose the new folder and all synced files in it.
        let parent = path.canonicalize()?.parent().map(fs::File::open);
        if let Some(parent) = parent {
            parent?.sync_all()?;
        }
        Ok(Self { path, lock: None })
    }
}

impl Disk for Folder {
    type File = fs::File;

    fn lock(&mut self) -> io::Result<()> {
        let path = self.path.join(LOCK_FILE);
        let file = fs::File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path)?;
        file.try_lock().map_err(io::Error::from)?;
        self.lock = Some(file);
        Ok(())
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            if let Ok(name) = entry?.file_name().into_string() {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<fs::File> {
        let path = self.path.join(name);
        fs::File::options()
            .create(true)
            .append(true)
            .open(path)
            .and_then(|file| {
                file.set_len(0)?;
                Ok(file)
            })
    }

    fn append(&mut self, file: &mut fs::File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    fn sync(&mut self, file: &mut fs::File) -> io::Result<()> {
        file.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        fs::File::open(&self.path)?.sync_all()
    }
}
