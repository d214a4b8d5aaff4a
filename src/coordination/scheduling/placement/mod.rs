//! Which machine takes a task: types, zones, quotas, images and free resources.

pub(super) mod arrays;
mod gangs;
mod services;
