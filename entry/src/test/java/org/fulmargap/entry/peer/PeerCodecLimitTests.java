package org.fulmargap.entry.peer;

import java.io.IOException;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against frames of other senders that take much memory or stack.
 */
class PeerCodecLimitTests {

	private static final byte BATCH = 11;

	private static final byte ARRAY_OF_ONE = (byte) 0x91;

	@Test
	void nestedBatchesAreRefusedAtTheSecondLevel() {
		byte[] frame = new byte[4_000_000];
		for (int i = 0; i < frame.length; i += 2) {
			frame[i] = BATCH;
			frame[i + 1] = ARRAY_OF_ONE;
		}
		assertThatExceptionOfType(IOException.class).isThrownBy(() -> PeerCodec.decode(frame, 0));
	}

}
