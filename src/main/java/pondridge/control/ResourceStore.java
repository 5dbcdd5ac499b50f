package pondridge.control;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The versioned resources of a source, relay or follower. For each key the store keeps the latest state and
 * the number of the commit that set it, so that any number of changes since a version collapse into one
 * delta. A deleted resource is kept as a tombstone where {@code maxTombstones} is above 0. The number of
 * tombstones is bounded; deltas are available from {@link #oldestDeltaBase} on. Not thread-safe.
 */
final class ResourceStore {
    /** The stored state of one key; the body is null for a tombstone. */
    private record StoredResource(String state, String body, long hash, long commitNumber, long bodyCommitNumber) {}

    private static final class ServiceResources {
        private final Map<String, StoredResource> byName = new HashMap<>(8);
        private long digest;
        private long lastCommitNumber;
        private int liveCount;
    }

    private final Map<String, ServiceResources> services = new TreeMap<>();
    private final int maxTombstones;
    private Version version = Version.NONE;
    private long oldestDeltaBase;
    private long digest;
    private int tombstoneCount;
    private int liveCount;

    ResourceStore(int maxTombstones) {
        this.maxTombstones = maxTombstones;
    }

    Version version() {
        return version;
    }

    /** Returns the lowest commit number from which a delta can be computed. */
    long oldestDeltaBase() {
        return oldestDeltaBase;
    }

    int liveCount() {
        return liveCount;
    }

    int tombstoneCount() {
        return tombstoneCount;
    }

    Collection<String> serviceNames() {
        return services.keySet();
    }

    boolean hasService(String service) {
        ServiceResources serviceResources = services.get(service);
        return serviceResources != null && serviceResources.liveCount > 0;
    }

    /** Returns the current resource of a key, or null if there is none. */
    Resource get(String service, String name) {
        ServiceResources serviceResources = services.get(service);
        StoredResource stored = serviceResources == null ? null : serviceResources.byName.get(name);
        return stored == null || stored.body == null ? null : new Resource(service, name, stored.state, stored.body);
    }

    /** Returns the digest of the given services, or of all services if {@code selectedServices} is empty. */
    long digest(Collection<String> selectedServices) {
        long sum = selectedServices.isEmpty() ? digest : 0;
        for (String service : selectedServices) {
            ServiceResources serviceResources = services.get(service);
            sum += serviceResources == null ? 0 : serviceResources.digest;
        }
        return sum;
    }

    /**
     * Returns whether any of the given services, or any service if {@code selectedServices} is empty, has
     * changed since a commit.
     */
    boolean hasChangesSince(long sinceNumber, Collection<String> selectedServices) {
        if (selectedServices.isEmpty()) {
            return version.number() > sinceNumber;
        }
        for (String service : selectedServices) {
            ServiceResources serviceResources = services.get(service);
            if (serviceResources != null && serviceResources.lastCommitNumber > sinceNumber) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the latest state of each key that has changed since a commit.
     *
     * @param sinceNumber the commit number; -1 for a snapshot
     * @param withCommitNumbers true for a receiver that forwards the changes: they carry commit numbers, and
     * a snapshot includes tombstones
     */
    List<Change> changesSince(long sinceNumber, Collection<String> selectedServices, boolean withCommitNumbers) {
        List<Change> changes = new ArrayList<>();
        for (String service : selectedServices.isEmpty() ? services.keySet() : selectedServices) {
            ServiceResources serviceResources = services.get(service);
            if (serviceResources != null && serviceResources.lastCommitNumber > sinceNumber) {
                serviceResources.byName.forEach((name, stored) -> {
                    if (stored.commitNumber > sinceNumber
                            && (stored.body != null || withCommitNumbers || sinceNumber >= 0)) {
                        boolean includeBody = stored.body != null && stored.bodyCommitNumber > sinceNumber;
                        changes.add(new Change(
                                service,
                                name,
                                stored.state,
                                includeBody ? stored.body : null,
                                withCommitNumbers ? stored.commitNumber : 0,
                                withCommitNumbers && includeBody ? stored.bodyCommitNumber : 0));
                    }
                });
            }
        }
        return changes;
    }

    /**
     * Computes the digest of all resources as it would be after the given changes, without applying them.
     *
     * @return null if a change can't be applied, such as a change of state for a key that is not stored
     */
    Long digestAfter(List<Change> changes) {
        long sum = digest;
        for (Change change : changes) {
            ServiceResources serviceResources = services.get(change.service());
            StoredResource stored = serviceResources == null ? null : serviceResources.byName.get(change.name());
            boolean present = stored != null && stored.body != null;
            if (!change.isDeleted() && change.body() == null && !present) {
                return null;
            }
            sum -= present ? stored.hash : 0;
            sum += change.isDeleted()
                    ? 0
                    : Digest.of(
                            change.service(),
                            change.name(),
                            change.state(),
                            change.body() == null ? stored.body : change.body());
        }
        return sum;
    }

    /** Applies changes that {@link #digestAfter} has validated. */
    void apply(List<Change> changes, Version newVersion, long senderOldestDeltaBase) {
        for (Change change : changes) {
            put(change, newVersion.number());
        }
        version = newVersion;
        if (maxTombstones == 0) {
            oldestDeltaBase = newVersion.number();
        } else {
            oldestDeltaBase = Math.max(oldestDeltaBase, senderOldestDeltaBase);
            evictOldTombstones();
        }
    }

    private void put(Change change, long currentNumber) {
        ServiceResources serviceResources = services.computeIfAbsent(change.service(), name -> new ServiceResources());
        StoredResource previous = serviceResources.byName.get(change.name());
        boolean present = previous != null && previous.body != null;
        if (present) {
            serviceResources.digest -= previous.hash;
            digest -= previous.hash;
            serviceResources.liveCount--;
            liveCount--;
        } else if (previous != null) {
            tombstoneCount--;
        }
        long commitNumber = change.commitNumber() == 0 ? currentNumber : change.commitNumber();
        serviceResources.lastCommitNumber = Math.max(serviceResources.lastCommitNumber, commitNumber);
        if (change.isDeleted()) {
            if (maxTombstones == 0) {
                serviceResources.byName.remove(change.name());
            } else {
                serviceResources.byName.put(
                        change.name(), new StoredResource(Resource.DELETED, null, 0, commitNumber, commitNumber));
                tombstoneCount++;
            }
            return;
        }
        String body = change.body() == null ? previous.body : change.body();
        long hash = Digest.of(change.service(), change.name(), change.state(), body);
        serviceResources.byName.put(
                change.name(),
                new StoredResource(
                        change.state(),
                        body,
                        hash,
                        commitNumber,
                        change.body() == null
                                ? previous.bodyCommitNumber
                                : change.bodyCommitNumber() == 0 ? currentNumber : change.bodyCommitNumber()));
        serviceResources.digest += hash;
        digest += hash;
        serviceResources.liveCount++;
        liveCount++;
    }

    /**
     * Evicts the older half of the tombstones when there are too many of them. Deltas that would have to
     * include an evicted tombstone are no longer available.
     */
    private void evictOldTombstones() {
        if (tombstoneCount <= maxTombstones) {
            return;
        }
        long[] tombstoneNumbers = new long[tombstoneCount];
        int count = 0;
        for (ServiceResources serviceResources : services.values()) {
            for (StoredResource stored : serviceResources.byName.values()) {
                if (stored.body == null) {
                    tombstoneNumbers[count++] = stored.commitNumber;
                }
            }
        }
        Arrays.sort(tombstoneNumbers);
        oldestDeltaBase = Math.max(oldestDeltaBase, tombstoneNumbers[tombstoneCount - maxTombstones / 2 - 1]);
        for (ServiceResources serviceResources : services.values()) {
            int sizeBefore = serviceResources.byName.size();
            serviceResources
                    .byName
                    .values()
                    .removeIf(stored -> stored.body == null && stored.commitNumber <= oldestDeltaBase);
            tombstoneCount -= sizeBefore - serviceResources.byName.size();
        }
        services.values().removeIf(serviceResources -> serviceResources.byName.isEmpty());
    }

    /** Returns an independent copy. */
    ResourceStore copy() {
        ResourceStore copy = new ResourceStore(maxTombstones);
        services.forEach((name, serviceResources) -> {
            ServiceResources copied = new ServiceResources();
            copied.byName.putAll(serviceResources.byName);
            copied.digest = serviceResources.digest;
            copied.lastCommitNumber = serviceResources.lastCommitNumber;
            copied.liveCount = serviceResources.liveCount;
            copy.services.put(name, copied);
        });
        copy.version = version;
        copy.oldestDeltaBase = oldestDeltaBase;
        copy.digest = digest;
        copy.tombstoneCount = tombstoneCount;
        copy.liveCount = liveCount;
        return copy;
    }
}
