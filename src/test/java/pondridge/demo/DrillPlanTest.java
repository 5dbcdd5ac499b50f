package pondridge.demo;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pondridge.settings.SettingsException;
import pondridge.settings.SettingsFile;
import pondridge.siteloss.SitePlanSettings;

/** Reading of drill files, and the errors for invalid ones. */
class DrillPlanTest {
    @TempDir
    private Path folder;

    @Test
    void readsAllShippedDrills() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("drills"))) {
            List<DrillPlan> plans = files.map(DrillPlan::read).toList();
            assertTrue(plans.size() > 5);
            plans.forEach(plan -> {
                assertEquals(3, plan.sites().size());
                assertTrue(plan.steps().size() > 1 && plan.steps().get(0).atNanos() < plan.lengthNanos());
                String text = SitePlanSettings.toToml(plan.topology());
                SettingsFile file = SettingsFile.parse("gateway", text);
                assertEquals(plan.topology(), SitePlanSettings.of(file), "the topology as gateways read it: " + text);
                file.rejectUnknownKeys();
            });
        }
    }

    @Test
    void errorsNameTheKey() throws IOException {
        String base = "[drill]\nbase = \"" + Path.of("drills", "site-loss.toml").toAbsolutePath() + "\"\n";
        for (Map.Entry<String, String> each : Map.of(
                        "[steps]\na = { at = \"1s\", do = \"burn\", site = \"ebene\" }",
                        "steps.a.do",
                        "[steps]\na = { at = \"1s\", do = \"cut\", site = \"rome\" }",
                        "steps.a.site",
                        "[steps]\na = { at = \"1s\", do = \"stop\", site = \"ebene\" }",
                        "steps.a.for",
                        "[steps]\na = { at = \"1s\", do = \"kill\", site = \"ebene\", gateway = 2 }",
                        "steps.a.gateway",
                        "[steps]\na = { do = \"cut\", site = \"ebene\" }",
                        "steps.a.at",
                        "[steps]\na = { at = \"1s\", do = \"cut-link\", site = \"ebene\", other = \"ebene\" }",
                        "steps.a.other",
                        "[site_plan.classes.rent]\nwork = \"1ms\"\naim = \"1s\"",
                        "site_plan",
                        "[speed]\nfast = 1",
                        "speed")
                .entrySet()) {
            Path file = Files.writeString(folder.resolve("drill.toml"), base + each.getKey());
            SettingsException error = assertThrows(SettingsException.class, () -> DrillPlan.read(file));
            assertTrue(error.getMessage().contains(each.getValue()), error::getMessage);
        }
        Path cyclic = Files.writeString(folder.resolve("cyclic.toml"), "[drill]\nbase = \"cyclic.toml\"\n");
        assertThrows(SettingsException.class, () -> DrillPlan.read(cyclic));
    }
}
