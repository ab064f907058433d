//! A panic that leaves state or tasks unusable ends the process, which the tests start again
//! as a child of their own.

#[path = "../src/panics/mod.rs"]
mod panics;

use std::os::unix::process::ExitStatusExt;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::{Command, ExitStatus, Stdio};

use panics::{AbortOnPanic, Mutex, RwLock};
use test_case::test_case;

/// Set for the child, to the fault that it is to have.
const FAULT: &str = "GENTIAN_TEST_FAULT";

/// Runs `child` in a process of its own, with the given fault.
fn run_child(fault: &str) -> ExitStatus {
    let program = std::env::current_exe().expect("the path of this program");
    let mut child = Command::new(program);
    child.args(["--exact", "child", "--ignored", "--nocapture"]);
    child.env(FAULT, fault).stdout(Stdio::null());
    child
        .stderr(Stdio::null())
        .status()
        .expect("the child runs")
}

/// What the child does; it panics, and goes on if it may.
#[test]
#[ignore = "run by the other tests in a process of its own"]
fn child() {
    let Ok(fault) = std::env::var(FAULT) else {
        return;
    };
    let (mutex, lock) = (Mutex::new(1), RwLock::new(1));
    let panicked = catch_unwind(AssertUnwindSafe(|| match fault.as_str() {
        "mutex" => {
            let _guard = mutex.lock();
            panic!("while the mutex is held");
        }
        "writer" => {
            let _guard = lock.write();
            panic!("while writing");
        }
        "reader" => {
            let _guard = lock.read();
            panic!("while reading");
        }
        "task" => {
            let _essential = AbortOnPanic("a task");
            panic!("in a task that others rely on");
        }
        _ => panic!("in a request"),
    }));
    assert!(panicked.is_err());
    assert_eq!(2, *mutex.lock() + *lock.read());
    *lock.write() += 1;
}

#[test_case("mutex"; "with a mutex")]
#[test_case("writer"; "while writing")]
#[test_case("task"; "in an essential task")]
fn a_panic_ends_the_process(fault: &str) {
    assert_eq!(Some(libc::SIGABRT), run_child(fault).signal());
}

#[test_case("reader"; "while reading")]
#[test_case("request"; "in a request")]
fn a_panic_leaves_the_process_running(fault: &str) {
    assert!(run_child(fault).success());
}
