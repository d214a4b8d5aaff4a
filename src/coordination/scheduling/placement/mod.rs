//! The choice of a machine for a task, by type, zone, quota, image and free resources.

pub(super) mod arrays;
mod gangs;
mod services;
