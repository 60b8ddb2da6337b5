package waytrestle.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import waytrestle.overload.ConnectionAdmission.Reason;
import waytrestle.overload.ConnectionAdmission.TrustLevel;

class ConnectionAdmissionTest {
    @Test
    void connectionsBeyondTotalOrNetworkLimitOrFromBarredSourceAreRejected() {
        ConnectionAdmission admission = new ConnectionAdmission(5, 2);
        assertNull(admission.tryAdmit("a", TrustLevel.ORDINARY));
        assertNull(admission.tryAdmit("a", TrustLevel.ORDINARY));
        assertEquals(Reason.NETWORK, admission.tryAdmit("a", TrustLevel.ORDINARY));
        assertNull(admission.tryAdmit("a", TrustLevel.TRUSTED));
        assertEquals(Reason.BARRED, admission.tryAdmit("b", TrustLevel.BARRED));
        assertNull(admission.tryAdmit("b", TrustLevel.ORDINARY));
        assertNull(admission.tryAdmit("c", TrustLevel.ORDINARY));
        assertEquals(Reason.TOTAL, admission.tryAdmit("d", TrustLevel.TRUSTED));
        admission.release("a");
        assertNull(admission.tryAdmit("d", TrustLevel.ORDINARY));
        assertEquals(5, admission.openConnections());
    }
}
