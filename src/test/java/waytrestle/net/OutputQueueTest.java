package waytrestle.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;

class OutputQueueTest {
    private final OutputQueue queue = new OutputQueue();

    @Test
    void whatTheKernelTookIsCountedOnceAndTheRestIsNext() {
        queue.add(ByteBuffer.allocate(3));
        queue.add(ByteBuffer.allocate(4));
        ByteBuffer[] next = queue.next();
        next[0].position(3);
        next[1].position(1);
        queue.taken(4);
        assertEquals(4, queue.written());
        assertEquals(3, queue.pending());
        assertEquals(3, queue.next()[0].remaining());
    }

    @Test
    void aCountThatNoWriteCanHaveIsRejected() {
        queue.add(ByteBuffer.allocate(3));
        assertThrows(IllegalArgumentException.class, () -> queue.taken(-3));
        assertThrows(IllegalArgumentException.class, () -> queue.taken(4));
        assertEquals(0, queue.written());
    }

    @Test
    void aLargeBufferIsWrittenInSlices() {
        queue.add(ByteBuffer.allocate(200_000));
        assertEquals(64 * 1024, queue.next()[0].remaining());
        assertEquals(4, queue.next().length);
        queue.clear();
        assertTrue(queue.isEmpty());
        assertEquals(0, queue.pending());
    }
}
