//! Locking in tests.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also if a thread has panicked while it held it: that panic fails its test by itself.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
