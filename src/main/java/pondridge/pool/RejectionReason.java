package pondridge.pool;

/** Why a pool rejected an attempt; a rejected attempt was never assigned to a connection. */
public enum RejectionReason {
    /** The pool is closed to new attempts. */
    SHUT,
    /** The limit of waiting attempts is reached. */
    FULL,
    /** The attempt has waited for the maximum time. */
    STARVED,
    /** No connection is established or pending, and the last one dialled failed. */
    UNREACHABLE,
    /** No connection is established or pending, and the limit shared with other pools allows no new one. */
    NO_ROOM
}
