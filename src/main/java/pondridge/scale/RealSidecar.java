package pondridge.scale;

import java.net.InetSocketAddress;

/** A whole sidecar that takes requests, beside the hollow ones. Of the run's thread. */
interface RealSidecar extends AutoCloseable {
    /** Where clients connect. */
    InetSocketAddress door();

    /** Processor time so far, in nanoseconds. */
    long cpuNanos();

    /** Resident memory in KiB; 0 for one that is no process of its own. */
    long residentKb();

    @Override
    void close();
}
