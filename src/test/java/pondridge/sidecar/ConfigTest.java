package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.Semantics;
import pondridge.Balancer.Settings;
import pondridge.platform.Config;

/** The configuration, and the settings in it as the module is told them. */
class ConfigTest {

    @Test
    void settingsReadAsOnTheSimulatorsWire() throws Exception {
        Config config = Config.of(Bed.json());
        Settings settings = config.options().settings();
        assertEquals(List.of("rate", "q"), settings.reportFields());
        assertEquals(Semantics.ONCE, settings.classes().get(2).semantics());
        assertEquals(750_000_000, settings.allowed().maxRetryAfter());
        assertEquals(List.of("look", "hold", "book"), config.options().names("profiles"));
        assertEquals(List.of("acme"), config.options().names("parties"));
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(41, config.known().rev());
    }

    /** Who runs it must see from one line what to mend. */
    @Test
    void mistakesNameTheirKey() throws Exception {
        for (String key : List.of("listen", "discovery", "seed", "settings")) {
            ObjectNode json = Bed.json();
            json.remove(key);
            assertNames(key, json);
        }
        ObjectNode json = Bed.json();
        json.withObject("/settings/rules").remove("rampTime");
        assertNames("rules.rampTime", json);
        json = Bed.json();
        json.withObject("/settings/caps").put("tryLimit", "many");
        assertNames("caps.tryLimit", json);
        json = Bed.json();
        json.withObject("/limits").put("sockets", 3);
        assertNames("limits.sockets", json);
    }

    /** With no time between two calls the module would ask again and again within one event. */
    @Test
    void whereNobodyIsBoundToAskThereIsStillTimeBetweenCalls() throws Exception {
        for (String discovery : List.of("subscribe", "automatic")) {
            ObjectNode json = Bed.json();
            json.withObject("/settings").put("discovery", discovery);
            json.withObject("/settings/rules").remove("askWithin");
            assertTrue(Config.of(json).options().settings().limits().askWithin() >= 1_000_000_000);
            json.withObject("/settings/rules").put("askWithin", 0);
            Config config = Config.of(json);
            assertTrue(config.options().settings().limits().askWithin() >= 1_000_000_000);
            assertEquals(discovery.equals("automatic"), config.pushed());
        }
    }

    private static void assertNames(String key, ObjectNode json) {
        String message = assertThrows(IllegalArgumentException.class, () -> Config.of(json))
                .getMessage();
        assertTrue(message.contains(key) && message.lines().count() == 1, message);
    }

    /** There is no DNS: a name would block the event loop until the resolver gives up. */
    @Test
    void onlyNumericAddressesAreTaken() {
        assertEquals(8080, Config.parseAddress("127.0.0.1:8080").getPort());
        for (String bad : List.of("", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", ":80")) {
            assertNull(Config.parseAddress(bad), bad);
        }
    }
}
