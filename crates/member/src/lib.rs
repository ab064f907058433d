//! Announcements, heartbeats, leases, views and drain.
