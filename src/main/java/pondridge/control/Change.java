package pondridge.control;

/**
 * The latest state of one key, as carried by an update.
 *
 * @param state {@link Resource#DELETED} for a deleted resource
 * @param body null if only the state has changed, and for a deleted resource
 * @param commitNumber of the commit that last changed the resource; 0 if the receiver does not forward it
 * @param bodyCommitNumber of the commit that last changed the body; 0 if there is no body
 */
record Change(String service, String name, String state, String body, long commitNumber, long bodyCommitNumber) {
    boolean isDeleted() {
        return state.equals(Resource.DELETED);
    }
}
