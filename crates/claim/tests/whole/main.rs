//! Gate, home, place and coordinator together, under faults.

mod chaos;
mod faults;
mod world;
