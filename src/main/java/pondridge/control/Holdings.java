package pondridge.control;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The state at one version: of each key the last state, and the commit that set it, so that any number of
 * changes since a version fold into their difference. What has gone is kept as a marker, a bounded number of
 * them; differences can be told since {@link #floor} and later. Not for several threads.
 */
final class Holdings {
    /** One key; the body is null for a marker of what has gone. */
    private record Held(String state, String body, long hash, long number, long bodyNumber) {}

    private static final class Service {
        private final Map<String, Held> held = new HashMap<>(8);
        private long digest;
        private long last;
        private int live;
    }

    private final Map<String, Service> services = new TreeMap<>();
    private final int mostMarkers;
    private Version version = Version.NONE;
    private long floor;
    private long digest;
    private int markers;
    private int live;

    Holdings(int mostMarkers) {
        this.mostMarkers = mostMarkers;
    }

    Version version() {
        return version;
    }

    /** The lowest number since which a difference can be told. */
    long floor() {
        return floor;
    }

    int live() {
        return live;
    }

    int markers() {
        return markers;
    }

    Collection<String> services() {
        return services.keySet();
    }

    boolean has(String service) {
        Service its = services.get(service);
        return its != null && its.live > 0;
    }

    /** One key as it stands; null where there is none. */
    Resource get(String service, String name) {
        Service its = services.get(service);
        Held held = its == null ? null : its.held.get(name);
        return held == null || held.body == null ? null : new Resource(service, name, held.state, held.body);
    }

    /** Of some services, or of all where {@code of} is empty. */
    long digest(Collection<String> of) {
        long sum = of.isEmpty() ? digest : 0;
        for (String each : of) {
            Service its = services.get(each);
            sum += its == null ? 0 : its.digest;
        }
        return sum;
    }

    /** Whether anything of these services, or of all where {@code of} is empty, has changed since. */
    boolean changedSince(long number, Collection<String> of) {
        if (of.isEmpty()) {
            return version.number() > number;
        }
        for (String each : of) {
            Service its = services.get(each);
            if (its != null && its.last > number) {
                return true;
            }
        }
        return false;
    }

    /**
     * The last state of each key that has changed since.
     *
     * @param number -1 for the whole
     * @param numbered for one that passes it on: with the numbers, and in the whole with the markers
     */
    List<Change> since(long number, Collection<String> of, boolean numbered) {
        List<Change> changes = new ArrayList<>();
        for (String each : of.isEmpty() ? services.keySet() : of) {
            Service its = services.get(each);
            if (its != null && its.last > number) {
                its.held.forEach((name, held) -> {
                    if (held.number > number && (held.body != null || numbered || number >= 0)) {
                        boolean with = held.body != null && held.bodyNumber > number;
                        changes.add(new Change(
                                each,
                                name,
                                held.state,
                                with ? held.body : null,
                                numbered ? held.number : 0,
                                numbered && with ? held.bodyNumber : 0));
                    }
                });
            }
        }
        return changes;
    }

    /**
     * What the digest of all would be after these; what is held stays as it is.
     *
     * @return null where one of them makes no sense here, as the new state of a key that is not held
     */
    Long digestAfter(List<Change> changes) {
        long sum = digest;
        for (Change each : changes) {
            Service its = services.get(each.service());
            Held held = its == null ? null : its.held.get(each.name());
            boolean known = held != null && held.body != null;
            if (!each.gone() && each.body() == null && !known) {
                return null;
            }
            sum -= known ? held.hash : 0;
            sum += each.gone()
                    ? 0
                    : Digest.of(
                            each.service(), each.name(), each.state(), each.body() == null ? held.body : each.body());
        }
        return sum;
    }

    /** Takes changes over; {@link #digestAfter} has found sense in them. */
    void apply(List<Change> changes, Version to, long floorOfSender) {
        for (Change each : changes) {
            put(each, to.number());
        }
        version = to;
        if (mostMarkers == 0) {
            floor = to.number();
        } else {
            floor = Math.max(floor, floorOfSender);
            shed();
        }
    }

    private void put(Change change, long to) {
        Service its = services.computeIfAbsent(change.service(), each -> new Service());
        Held old = its.held.get(change.name());
        boolean known = old != null && old.body != null;
        if (known) {
            its.digest -= old.hash;
            digest -= old.hash;
            its.live--;
            live--;
        } else if (old != null) {
            markers--;
        }
        long number = change.number() == 0 ? to : change.number();
        its.last = Math.max(its.last, number);
        if (change.gone()) {
            if (mostMarkers == 0) {
                its.held.remove(change.name());
            } else {
                its.held.put(change.name(), new Held(Resource.DELETED, null, 0, number, number));
                markers++;
            }
            return;
        }
        String body = change.body() == null ? old.body : change.body();
        long hash = Digest.of(change.service(), change.name(), change.state(), body);
        its.held.put(
                change.name(),
                new Held(
                        change.state(),
                        body,
                        hash,
                        number,
                        change.body() == null ? old.bodyNumber : change.bodyNumber() == 0 ? to : change.bodyNumber()));
        its.digest += hash;
        digest += hash;
        its.live++;
        live++;
    }

    /** Too many markers: the older half goes, and with it the differences that would have told of them. */
    private void shed() {
        if (markers <= mostMarkers) {
            return;
        }
        long[] numbers = new long[markers];
        int count = 0;
        for (Service its : services.values()) {
            for (Held held : its.held.values()) {
                if (held.body == null) {
                    numbers[count++] = held.number;
                }
            }
        }
        Arrays.sort(numbers);
        floor = Math.max(floor, numbers[markers - mostMarkers / 2 - 1]);
        for (Service its : services.values()) {
            int before = its.held.size();
            its.held.values().removeIf(held -> held.body == null && held.number <= floor);
            markers -= before - its.held.size();
        }
        services.values().removeIf(its -> its.held.isEmpty());
    }

    /** The same, to be changed apart from this. */
    Holdings copy() {
        Holdings copy = new Holdings(mostMarkers);
        services.forEach((name, its) -> {
            Service same = new Service();
            same.held.putAll(its.held);
            same.digest = its.digest;
            same.last = its.last;
            same.live = its.live;
            copy.services.put(name, same);
        });
        copy.version = version;
        copy.floor = floor;
        copy.digest = digest;
        copy.markers = markers;
        copy.live = live;
        return copy;
    }
}
