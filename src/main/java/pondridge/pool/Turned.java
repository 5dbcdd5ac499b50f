package pondridge.pool;

/** Why an attempt was turned away by a pool; in no case has it been on a member. */
public enum Turned {
    /** Nothing new is to go there. */
    SHUT,
    /** As many wait as may. */
    FULL,
    /** It has waited for as long as it may. */
    STARVED,
    /** None is up or on its way, and the last one dialled came to nothing. */
    UNREACHABLE,
    /** None is up or on its way, and none may be opened beside those of other pools. */
    NO_ROOM
}
