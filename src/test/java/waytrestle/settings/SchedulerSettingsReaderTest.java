package waytrestle.settings;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.List;
import org.junit.jupiter.api.Test;
import waytrestle.json.JsonObject;
import waytrestle.json.MalformedJsonException;
import waytrestle.scheduler.DeduplicationScope;
import waytrestle.scheduler.DiscoveryMode;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.LoadReportSource;
import waytrestle.scheduler.SchedulerSettings;

/** Checks how the JSON settings object is read, and what the reader depends on. */
class SchedulerSettingsReaderTest {
    private static SchedulerSettings read(String json) {
        return SchedulerSettingsReader.read(JsonObject.parse(json, "the settings"));
    }

    @Test
    void settingsOfEachGroupAreReadFromTheirMembers() {
        SchedulerSettings settings =
                read(
                        """
                        {"me": 2, "balancers": 5, "zone": 1, "tick_us": 4000,
                         "discovery": "subscribe", "report": {"how": "probe"},
                         "weight_kind": "w", "over_share_worth": 0.5,
                         "tenants": [{"name": "t", "share": 0.25, "quota_rps": 10}],
                         "limits": {"max_attempts": 3, "max_open": 9, "cancel": true},
                         "rules": {"drain_grace_us": 7, "cold_from": 0.1},
                         "domain": {"not_loaded": "miss", "memory_mb_by_kind": [512, "x"]},
                         "prices": {"late_fail": 2}}
                        """);
        assertEquals(2, settings.controllerIndex());
        assertEquals(5, settings.controllerCount());
        assertEquals(1, settings.zone());
        assertEquals(4_000, settings.tickMicros());
        assertEquals(DiscoveryMode.POLL, settings.discovery());
        assertEquals(LoadReportSource.HEALTH_CHECKS, settings.loadReports());
        assertEquals(0.5, settings.overQuotaWeight());
        assertEquals(List.of(new SchedulerSettings.Tenant("t", 0.25, 10)), settings.tenants());
        assertEquals(3, settings.limits().maxAttempts());
        assertEquals(9, settings.limits().maxInFlight());
        assertTrue(settings.limits().mayCancel());
        assertEquals(7, settings.rules().drainGraceMicros());
        assertEquals(0.1, settings.rules().slowStartInitialShare());
        assertTrue(settings.preloading().reportsNotLoaded());
        assertEquals(List.of(512.0, 0.0), settings.preloading().memoryByKind());
        assertEquals(2, settings.costs().lateFailure());
    }

    @Test
    void requestClassIsReadWithItsIdempotencyAndDeduplicationScope() {
        SchedulerSettings settings =
                read(
                        """
                        {"lanes": [
                          {"name": "a", "idempotency": "read_like", "group": "all", "aim_us": 8},
                          {"name": "b", "idempotency": "idempotency_key", "group": "zone"},
                          {"name": "c"}]}
                        """);
        List<SchedulerSettings.RequestClass> requestClasses = settings.classes();
        assertEquals("a", requestClasses.get(0).name());
        assertEquals(8, requestClasses.get(0).objectiveMicros());
        assertEquals(Idempotency.IDEMPOTENT, requestClasses.get(0).idempotency());
        assertEquals(DeduplicationScope.ALL, requestClasses.get(0).deduplicationScope());
        assertEquals(Idempotency.KEYED, requestClasses.get(1).idempotency());
        assertEquals(DeduplicationScope.ZONE, requestClasses.get(1).deduplicationScope());
        assertEquals(Idempotency.NON_IDEMPOTENT, requestClasses.get(2).idempotency());
        assertEquals(DeduplicationScope.CELL, requestClasses.get(2).deduplicationScope());
    }

    @Test
    void missingMembersAreReadAsEmptyValues() {
        SchedulerSettings settings = read("{}");
        assertTrue(settings.classes().isEmpty());
        assertTrue(settings.tenants().isEmpty());
        assertEquals(DiscoveryMode.PUSH, settings.discovery());
        assertEquals(LoadReportSource.NONE, settings.loadReports());
        assertFalse(settings.limits().mayCancel());
        assertEquals(0, settings.costs().waste());
    }

    @Test
    void memberOfTheWrongTypeIsNamedInTheErrorMessage() {
        String[][] errorsByJson = {
            {"{\"lanes\": 7}", "lanes must be an array"},
            {"{\"lanes\": [7]}", "lanes must be an object"},
            {"{\"tenants\": [null]}", "tenants must be an object"},
            {"{\"me\": \"x\"}", "me must be a whole number"},
            {"{\"limits\": {\"cancel\": 1}}", "cancel must be true or false"},
            {"{\"prices\": {\"waste\": \"x\"}}", "waste must be a number"}
        };
        for (String[] errorByJson : errorsByJson) {
            String json = errorByJson[0];
            String error = errorByJson[1];
            assertEquals(
                    error,
                    assertThrows(MalformedJsonException.class, () -> read(json)).getMessage());
        }
    }

    /**
     * The bench charges the time that the bench adapter takes to start, and the adapter loads the
     * settings and JSON packages, so they must not load further libraries.
     */
    @Test
    void settingsAndJsonPackagesDependOnlyOnJacksonCoreAndTheScheduler() {
        classes()
                .that()
                .resideInAnyPackage("waytrestle.settings", "waytrestle.json")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "waytrestle.settings",
                        "waytrestle.json",
                        "waytrestle.scheduler",
                        "com.fasterxml.jackson.core..",
                        "java..")
                .check(
                        new ClassFileImporter()
                                .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                                .importPackages("waytrestle"));
    }
}
