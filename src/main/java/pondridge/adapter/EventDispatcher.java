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
    void dispatchBatch(long now, long records, FrameReader frame) {
        for (long i = 0; i < records; i++) {
            dispatch(now, frame.nextRecord(), frame);
            frame.endRecord();
        }
        if (!frame.atEnd()) {
            throw new MalformedFrameException("bytes left over after the last of " + records + " records");
        }
    }

    private void dispatch(long now, int code, FrameReader frame) {
        switch (code) {
            case 1 -> createInstance(now, frame);
            case 2 -> endpointListChanged(now, frame);
            case 3 -> requestArrived(now, frame);
            case 4 -> instance(frame)
                    .firstByteReceived(now, frame.u32(), frame.u8(), frame.upstream(), frame.time("timeTaken"));
            case 5 -> instance(frame)
                    .attemptEnded(
                            now,
                            frame.u32(),
                            frame.u8(),
                            frame.upstream(),
                            frame.enumValue(OUTCOMES, frame.u8(), "stateCode"),
                            frame.time("timeTaken"),
                            frame.u8() != 0,
                            frame.loadReport());
            case 6 -> instance(frame).clientDisconnected(now, frame.u32());
            case 7 -> instance(frame).timerFired(now, frame.i64());
            case 8 -> instance(frame)
                    .probeEnded(
                            now,
                            frame.upstream(),
                            frame.enumValue(OUTCOMES, frame.u8(), "stateCode"),
                            frame.time("timeTaken"),
                            frame.loadReport());
            case 9 -> instance(frame).peerMessageReceived(now, frame.u16(), frame.bytes(frame.u16()));
            case 10 -> instances.remove(frame.u16());
            case 11 -> defineList(frame);
            default -> throw new MalformedFrameException(
                    "unknown event code " + code + " at byte " + frame.recordStart());
        }
    }

    private Balancer instance(FrameReader frame) {
        int sidecar = frame.u16();
        Balancer instance = instances.get(sidecar);
        if (instance == null) {
            throw new MalformedFrameException(
                    "event for unknown instance " + sidecar + " at byte " + frame.recordStart());
        }
        return instance;
    }

    private void createInstance(long now, FrameReader frame) {
        int sidecar = frame.u16();
        long seed = frame.i64();
        Balancer instance = new LoadBalancingPolicy(
                new BalancerOptions(frame.text(frame.u32())).settings(), seed, replyWriter.actionsOf(sidecar));
        instances.put(sidecar, instance);
        instance.start(now);
    }

    private void endpointListChanged(long now, FrameReader frame) {
        Balancer instance = instance(frame);
        EndpointListKind kind = frame.enumValue(LIST_KINDS, frame.u8(), "form");
        frame.i64();
        long number = frame.u32();
        if (kind == EndpointListKind.FAILED) {
            instance.endpointListChanged(now, kind, List.of());
            return;
        }
        if (number >= MAX_LISTS || endpointLists.get((int) number) == null) {
            throw new MalformedFrameException("unknown list number " + number + " at byte " + frame.recordStart());
        }
        instance.endpointListChanged(now, kind, endpointLists.get((int) number));
    }

    private void requestArrived(long now, FrameReader frame) {
        Balancer instance = instance(frame);
        long id = frame.u32();
        int requestClass = frame.u8();
        int tenant = frame.u16();
        long key = frame.i64();
        long clientTimeoutNanos = frame.time("left");
        long costHintNanos = frame.time("costGuess");
        int flags = frame.u8();
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

    private void defineList(FrameReader frame) {
        long number = frame.u32();
        if (number >= MAX_LISTS) {
            throw new MalformedFrameException("list number " + number + " out of range at byte " + frame.recordStart());
        }
        long count = frame.u32();
        List<Upstream> entries = new ArrayList<>((int) Math.min(count, MAX_INITIAL_CAPACITY));
        for (long i = 0; i < count; i++) {
            entries.add(new Upstream(
                    frame.upstream(),
                    frame.u8(),
                    frame.u16(),
                    frame.u16(),
                    frame.enumValue(STATES, frame.u8(), "status"),
                    frame.f32(),
                    frame.time("lastStart")));
        }
        endpointLists.set((int) number, entries);
    }
}
