package pondridge.control;

/**
 * The last state of one key, as an update tells it.
 *
 * @param state {@link Resource#DELETED} for one that has gone
 * @param body null where only the state is new, and for one that has gone
 * @param number of the commit that changed it last; 0 where the receiver passes nothing on
 * @param bodyNumber of the commit that changed its body last; 0 where there is no body
 */
record Change(String service, String name, String state, String body, long number, long bodyNumber) {
    boolean gone() {
        return state.equals(Resource.DELETED);
    }
}
