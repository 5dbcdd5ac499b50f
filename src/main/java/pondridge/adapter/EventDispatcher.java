package pondridge.adapter;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pondridge.Balancer;
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.Request;
import pondridge.Balancer.Upstream;
import pondridge.Balancer.UpstreamState;
import pondridge.BalancerOptions;
import pondridge.LoadBalancingPolicy;

/**
 * Dispatches the events of a batch to the balancer instances that they address. The instances share no state.
 */
final class EventDispatcher {
    private static final int MAX_LISTS = 16;
    private static final int MAX_INITIAL_CAPACITY = 1024;
    private static final Outcome[] OUTCOMES = Outcome.values();
    private static final EndpointListKind[] LIST_KINDS = EndpointListKind.values();
    private static final UpstreamState[] STATES = UpstreamState.values();

    private final Map<Integer, Balancer> instances = new HashMap<>();
    private final List<List<Upstream>> endpointLists = new ArrayList<>();
    private final ReplyFrameWriter replyWriter;

    EventDispatcher(ReplyFrameWriter replyWriter) {
        this.replyWriter = replyWriter;
        for (int i = 0; i < MAX_LISTS; i++) {
            endpointLists.add(null);
        }
    }

    /** Handles all records of a frame. */
    void dispatchBatch(long now, long records, FrameReader in) {
        for (long i = 0; i < records; i++) {
            dispatch(now, in.nextRecord(), in);
            in.endRecord();
        }
        if (!in.atEnd()) {
            throw new MalformedFrameException("bytes left over after the last of " + records + " records");
        }
    }

    private void dispatch(long now, int code, FrameReader in) {
        switch (code) {
            case 1 -> createInstance(now, in);
            case 2 -> endpointListChanged(now, in);
            case 3 -> requestArrived(now, in);
            case 4 -> instance(in).firstByteReceived(now, in.u32(), in.u8(), in.upstream(), in.time("timeTaken"));
            case 5 -> instance(in)
                    .attemptEnded(
                            now,
                            in.u32(),
                            in.u8(),
                            in.upstream(),
                            in.enumValue(OUTCOMES, in.u8(), "stateCode"),
                            in.time("timeTaken"),
                            in.u8() != 0,
                            in.loadReport());
            case 6 -> instance(in).clientDisconnected(now, in.u32());
            case 7 -> instance(in).timerFired(now, in.i64());
            case 8 -> instance(in)
                    .probeEnded(
                            now,
                            in.upstream(),
                            in.enumValue(OUTCOMES, in.u8(), "stateCode"),
                            in.time("timeTaken"),
                            in.loadReport());
            case 9 -> instance(in).peerMessageReceived(now, in.u16(), in.bytes(in.u16()));
            case 10 -> instances.remove(in.u16());
            case 11 -> defineList(in);
            default -> throw new MalformedFrameException("unknown event code " + code + " at byte " + in.recordStart());
        }
    }

    private Balancer instance(FrameReader in) {
        int sidecar = in.u16();
        Balancer instance = instances.get(sidecar);
        if (instance == null) {
            throw new MalformedFrameException("event for unknown instance " + sidecar + " at byte " + in.recordStart());
        }
        return instance;
    }

    private void createInstance(long now, FrameReader in) {
        int sidecar = in.u16();
        long seed = in.i64();
        Balancer instance = new LoadBalancingPolicy(
                new BalancerOptions(in.text(in.u32())).settings(), seed, replyWriter.actionsOf(sidecar));
        instances.put(sidecar, instance);
        instance.start(now);
    }

    private void endpointListChanged(long now, FrameReader in) {
        Balancer instance = instance(in);
        EndpointListKind kind = in.enumValue(LIST_KINDS, in.u8(), "form");
        in.i64();
        long number = in.u32();
        if (kind == EndpointListKind.FAILED) {
            instance.endpointListChanged(now, kind, List.of());
            return;
        }
        if (number >= MAX_LISTS || endpointLists.get((int) number) == null) {
            throw new MalformedFrameException("unknown list number " + number + " at byte " + in.recordStart());
        }
        instance.endpointListChanged(now, kind, endpointLists.get((int) number));
    }

    private void requestArrived(long now, FrameReader in) {
        Balancer instance = instance(in);
        long id = in.u32();
        int requestClass = in.u8();
        int tenant = in.u16();
        long key = in.i64();
        long clientTimeoutNanos = in.time("left");
        long costHintNanos = in.time("costGuess");
        int flags = in.u8();
        instance.requestArrived(
                now,
                new Request(
                        id,
                        requestClass,
                        tenant,
                        key,
                        clientTimeoutNanos,
                        (flags & 1) != 0 ? costHintNanos : 0,
                        (flags & 2) != 0,
                        (flags & 4) != 0));
    }

    private void defineList(FrameReader in) {
        long number = in.u32();
        if (number >= MAX_LISTS) {
            throw new MalformedFrameException("list number " + number + " out of range at byte " + in.recordStart());
        }
        long count = in.u32();
        List<Upstream> entries = new ArrayList<>((int) Math.min(count, MAX_INITIAL_CAPACITY));
        for (long i = 0; i < count; i++) {
            entries.add(new Upstream(
                    in.upstream(),
                    in.u8(),
                    in.u16(),
                    in.u16(),
                    in.enumValue(STATES, in.u8(), "status"),
                    in.f32(),
                    in.time("lastStart")));
        }
        endpointLists.set((int) number, entries);
    }
}
