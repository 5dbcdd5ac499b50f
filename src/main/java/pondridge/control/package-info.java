/**
 * Carries lists and settings from one source over relays to many sidecars: state is a version, what is new is
 * a folded difference, and what is known by whom is a sum. Off unless switched on by settings; nothing of it
 * is loaded by the platform's own start. What decides stands apart from sockets and takes the time as an
 * argument, in nanoseconds.
 */
package pondridge.control;
