package pondridge.adapter;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pondridge.Balancer;
import pondridge.Balancer.ListKind;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.Request;
import pondridge.Balancer.State;
import pondridge.Balancer.Upstream;
import pondridge.Options;
import pondridge.Rules;

/**
 * Hands the events of a batch to the instances they name. It decides nothing and shares nothing between
 * them.
 */
final class Host {
    private static final int MAX_LISTS = 16;
    private static final int FIRST_ENTRIES = 1024;
    private static final Outcome[] OUTCOMES = Outcome.values();
    private static final ListKind[] KINDS = ListKind.values();
    private static final State[] STATES = State.values();

    private final Map<Integer, Balancer> instances = new HashMap<>();
    private final List<List<Upstream>> lists = new ArrayList<>();
    private final Replies replies;

    Host(Replies replies) {
        this.replies = replies;
        for (int i = 0; i < MAX_LISTS; i++) {
            lists.add(null);
        }
    }

    void batch(long now, long records, Cursor in) {
        for (long i = 0; i < records; i++) {
            event(now, in.nextRecord(), in);
            in.endRecord();
        }
        if (!in.atEnd()) {
            throw new WireException("bytes left over after the last of " + records + " records");
        }
    }

    private void event(long now, int code, Cursor in) {
        switch (code) {
            case 1 -> provision(now, in);
            case 2 -> membership(now, in);
            case 3 -> submit(now, in);
            case 4 -> instance(in).firstByte(now, in.u32(), in.u8(), in.upstream(), in.time("timeTaken"));
            case 5 -> instance(in)
                    .outcome(
                            now,
                            in.u32(),
                            in.u8(),
                            in.upstream(),
                            in.choice(OUTCOMES, in.u8(), "stateCode"),
                            in.time("timeTaken"),
                            in.u8() != 0,
                            in.report());
            case 6 -> instance(in).hangup(now, in.u32());
            case 7 -> instance(in).timer(now, in.i64());
            case 8 -> instance(in)
                    .probeResult(
                            now,
                            in.upstream(),
                            in.choice(OUTCOMES, in.u8(), "stateCode"),
                            in.time("timeTaken"),
                            in.report());
            case 9 -> instance(in).peerMessage(now, in.u16(), in.bytes(in.u16()));
            case 10 -> instances.remove(in.u16());
            case 11 -> defineList(in);
            default -> throw new WireException("unknown event code " + code + " at byte " + in.recordStart());
        }
    }

    private Balancer instance(Cursor in) {
        int sidecar = in.u16();
        Balancer instance = instances.get(sidecar);
        if (instance == null) {
            throw new WireException("event for unknown instance " + sidecar + " at byte " + in.recordStart());
        }
        return instance;
    }

    private void provision(long now, Cursor in) {
        int sidecar = in.u16();
        long seed = in.i64();
        Balancer instance = new Rules(new Options(in.text(in.u32())).settings(), seed, replies.sink(sidecar));
        instances.put(sidecar, instance);
        instance.start(now);
    }

    private void membership(long now, Cursor in) {
        Balancer instance = instance(in);
        ListKind kind = in.choice(KINDS, in.u8(), "form");
        in.i64();
        long number = in.u32();
        if (kind == ListKind.FAILED) {
            instance.listChanged(now, kind, List.of());
            return;
        }
        if (number >= MAX_LISTS || lists.get((int) number) == null) {
            throw new WireException("unknown list number " + number + " at byte " + in.recordStart());
        }
        instance.listChanged(now, kind, lists.get((int) number));
    }

    private void submit(long now, Cursor in) {
        Balancer instance = instance(in);
        long id = in.u32();
        int requestClass = in.u8();
        int tenant = in.u16();
        long key = in.i64();
        long left = in.time("left");
        long hint = in.time("costGuess");
        int bits = in.u8();
        instance.request(
                now,
                new Request(
                        id,
                        requestClass,
                        tenant,
                        key,
                        left,
                        (bits & 1) != 0 ? hint : 0,
                        (bits & 2) != 0,
                        (bits & 4) != 0));
    }

    private void defineList(Cursor in) {
        long number = in.u32();
        if (number >= MAX_LISTS) {
            throw new WireException("list number " + number + " out of range at byte " + in.recordStart());
        }
        long count = in.u32();
        List<Upstream> entries = new ArrayList<>((int) Math.min(count, FIRST_ENTRIES));
        for (long i = 0; i < count; i++) {
            entries.add(new Upstream(
                    in.upstream(),
                    in.u8(),
                    in.u16(),
                    in.u16(),
                    in.choice(STATES, in.u8(), "status"),
                    in.f32(),
                    in.time("lastStart")));
        }
        lists.set((int) number, entries);
    }
}
