//! Tests of rolling upgrades with the code of earlier versions. The tests are in `tests/`; this library is empty.
