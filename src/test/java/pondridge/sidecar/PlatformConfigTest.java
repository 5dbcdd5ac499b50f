package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.RetrySemantics;
import pondridge.Balancer.Settings;
import pondridge.platform.PlatformConfig;

/** The platform's configuration file and the balancer settings in it. */
class PlatformConfigTest {

    @Test
    void settingsAreReadAsInTheSimulatorsWireFormat() throws Exception {
        PlatformConfig config = PlatformConfig.of(SidecarFixture.config());
        Settings settings = config.options().settings();
        assertEquals(List.of("rate", "q"), settings.loadReportFields());
        assertEquals(RetrySemantics.ONCE, settings.classes().get(2).retrySemantics());
        assertEquals(750_000_000, settings.capabilities().maxRetryAfterNanos());
        assertEquals(List.of("look", "hold", "book"), config.options().objectNames("profiles"));
        assertEquals(List.of("acme"), config.options().objectNames("parties"));
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(41, config.cachedEndpoints().revision());
    }

    /** An operator must see from one line which key to fix. */
    @Test
    void errorsNameTheInvalidKey() throws Exception {
        for (String key : List.of("listen", "discovery", "seed", "settings")) {
            ObjectNode json = SidecarFixture.config();
            json.remove(key);
            assertErrorNames(key, json);
        }
        ObjectNode json = SidecarFixture.config();
        json.withObject("/settings/rules").remove("rampTime");
        assertErrorNames("rules.rampTime", json);
        json = SidecarFixture.config();
        json.withObject("/settings/caps").put("tryLimit", "many");
        assertErrorNames("caps.tryLimit", json);
        json = SidecarFixture.config();
        json.withObject("/limits").put("sockets", 3);
        assertErrorNames("limits.sockets", json);
    }

    /** With no interval between calls the balancer would repeat the call endlessly within one event. */
    @Test
    void callsHaveAMinimumIntervalWithoutARequiredOne() throws Exception {
        for (String discovery : List.of("subscribe", "automatic")) {
            ObjectNode json = SidecarFixture.config();
            json.withObject("/settings").put("discovery", discovery);
            json.withObject("/settings/rules").remove("askWithin");
            assertTrue(
                    PlatformConfig.of(json).options().settings().safetyLimits().endpointRefreshNanos()
                            >= 1_000_000_000);
            json.withObject("/settings/rules").put("askWithin", 0);
            PlatformConfig config = PlatformConfig.of(json);
            assertTrue(config.options().settings().safetyLimits().endpointRefreshNanos() >= 1_000_000_000);
            assertEquals(discovery.equals("automatic"), config.isDiscoveryPushed());
        }
    }

    private static void assertErrorNames(String key, ObjectNode json) {
        String message = assertThrows(IllegalArgumentException.class, () -> PlatformConfig.of(json))
                .getMessage();
        assertTrue(message.contains(key) && message.lines().count() == 1, message);
    }

    /** There is no DNS: a host name would block the event loop until the resolver times out. */
    @Test
    void onlyNumericAddressesAreAccepted() {
        assertEquals(8080, PlatformConfig.parseAddress("127.0.0.1:8080").getPort());
        for (String bad : List.of("", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", ":80")) {
            assertNull(PlatformConfig.parseAddress(bad), bad);
        }
    }
}
