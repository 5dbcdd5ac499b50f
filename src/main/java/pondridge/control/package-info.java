/**
 * Distributes endpoint lists and settings from one source through relays to many sidecars. The state has a
 * version; changes are sent as deltas that combine all changes since the receiver's version; the versions
 * that followers have are reported as aggregates. Off unless enabled in the settings; the platform does not
 * load these classes when it starts without them. Classes that decide are separate from sockets and take the
 * time as an argument, in nanoseconds.
 */
package pondridge.control;
