//! Rolling upgrades with the code of earlier versions; all of it is in `tests/`.
