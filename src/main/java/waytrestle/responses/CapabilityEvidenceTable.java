package waytrestle.responses;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Keeps the evidence on each declared capability of each invoker, and warns once per invoker and
 * capability if the evidence shows that the invoker lacks the capability.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class CapabilityEvidenceTable {
    /** Receives the warnings of missing capabilities. */
    interface WarningListener {
        /**
         * Handles the warning that an invoker lacks a declared capability.
         *
         * @param unreported true if most responses lack the declared report; false if responses
         *     refute the capability
         */
        void warn(String invoker, DeclaredCapability capability, boolean unreported);
    }

    private final WarningListener listener;
    private final Map<String, Map<DeclaredCapability, CapabilityEvidence>> byInvoker =
            new HashMap<>();

    CapabilityEvidenceTable(WarningListener listener) {
        this.listener = listener;
    }

    /** Removes the evidence on an invoker that has left the fleet. */
    void remove(String invoker) {
        byInvoker.remove(invoker);
    }

    /**
     * Returns the evidence on an invoker by capability; a capability without evidence is absent.
     */
    Map<DeclaredCapability, CapabilityEvidence> evidenceOf(String invoker) {
        return byInvoker.getOrDefault(invoker, Map.of());
    }

    private CapabilityEvidence evidence(String invoker, DeclaredCapability capability) {
        return byInvoker
                .computeIfAbsent(invoker, id -> new EnumMap<>(DeclaredCapability.class))
                .computeIfAbsent(capability, key -> new CapabilityEvidence());
    }

    /** Records a response without the declared report, and warns if such responses are the rule. */
    void addUnreported(String invoker, DeclaredCapability capability) {
        CapabilityEvidence evidence = evidence(invoker, capability);
        evidence.addUnreported();
        if (evidence.isMostlyUnreported() && evidence.markWarned()) {
            listener.warn(invoker, capability, true);
        }
    }

    /** Records a response whose report cannot be checked yet. */
    void addUnchecked(String invoker, DeclaredCapability capability) {
        evidence(invoker, capability).addUnchecked();
    }

    /**
     * Records whether a response confirms the capability, and warns if refutations are the rule.
     */
    void addChecked(String invoker, DeclaredCapability capability, boolean confirms) {
        CapabilityEvidence evidence = evidence(invoker, capability);
        evidence.addChecked(confirms);
        if (evidence.isMostlyRefuted() && evidence.markWarned()) {
            listener.warn(invoker, capability, false);
        }
    }

    /** Returns whether the reports of an invoker on a capability are trusted. */
    boolean isTrusted(String invoker, DeclaredCapability capability) {
        return evidence(invoker, capability).isTrusted();
    }
}
