package pondridge.control;

import java.util.List;

/**
 * What a watcher knows, and what it takes over: nothing older than it has within an epoch, nothing of an
 * earlier epoch, nothing that does not fit on what it has, and nothing whose digest is not the sender's. What
 * is not taken changes nothing. Times in nanoseconds. Not for several threads.
 */
final class FollowerState {
    /** What came of an update. */
    enum Verdict {
        /** What is held is new. */
        TAKEN,
        /** All is as it was, and known to be so. */
        BEAT,
        /** The sender is behind; it may catch up. */
        OLDER,
        /** A difference since a version that is not held. */
        GAP,
        /** Taken over it would not be what the sender holds: the whole is needed. */
        MISMATCH
    }

    private final Hello who;
    private final int mostMarkers;
    private Holdings held;
    private long heardAt;
    private boolean heard;
    private List<String> absent = List.of();

    /**
     * Knows nothing yet.
     *
     * @param mostMarkers of what has gone, for a relay; 0 for one that passes nothing on
     */
    FollowerState(String instance, List<String> services, boolean passesOn, int mostMarkers) {
        this.who = new Hello(instance, services, passesOn, Version.NONE);
        this.mostMarkers = mostMarkers;
        this.held = new Holdings(mostMarkers);
    }

    Holdings held() {
        return held;
    }

    Version version() {
        return held.version();
    }

    /** Services asked for that were not there by the last word. */
    List<String> absent() {
        return absent;
    }

    /** How it begins at a server: with the version it has. */
    Hello hello() {
        return new Hello(who.instance(), who.services(), who.passesOn(), held.version());
    }

    /** How old what is known may be: since the source was heard, by however many relays; MAX for never. */
    long age(long now) {
        return heard ? Math.max(0, now - heardAt) : Long.MAX_VALUE;
    }

    /** Takes an update over if it may. */
    Verdict take(Update update, long now) {
        Version has = held.version();
        if (update.version().compareTo(has) < 0) {
            return Verdict.OLDER;
        }
        if (!update.whole() && (update.version().epoch() != has.epoch() || update.from() > has.number())) {
            return Verdict.GAP;
        }
        Holdings into = update.whole() ? new Holdings(mostMarkers) : held;
        Long after = into.digestAfter(update.changes());
        if (after == null || after != update.digest()) {
            return Verdict.MISMATCH;
        }
        boolean news = update.whole() || !update.changes().isEmpty();
        into.apply(update.changes(), update.version(), update.whole() ? update.floor() : 0);
        held = into;
        absent = update.absent();
        heardNow(update, now);
        return news ? Verdict.TAKEN : Verdict.BEAT;
    }

    private void heardNow(Update update, long now) {
        if (update.ageMs() >= 0) {
            long at = now - update.ageMs() * 1_000_000;
            heardAt = heard ? Math.max(heardAt, at) : at;
            heard = true;
        }
    }
}
