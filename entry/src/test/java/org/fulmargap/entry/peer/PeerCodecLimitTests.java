package org.fulmargap.entry.peer;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.List;

import com.sun.management.ThreadMXBean;
import org.fulmargap.fleet.FleetMember;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against frames of other senders that take much memory or stack, or that name VMs
 * that can't be reached.
 */
class PeerCodecLimitTests {

	private static final byte BATCH = 11;

	private static final byte RECORDS = 9;

	private static final byte ARRAY_OF_ONE = (byte) 0x91;

	private static final byte BINARY_32 = (byte) 0xc6;

	@Test
	void nestedBatchesAreRefusedAtTheSecondLevel() {
		byte[] frame = new byte[4_000_000];
		for (int i = 0; i < frame.length; i += 2) {
			frame[i] = BATCH;
			frame[i + 1] = ARRAY_OF_ONE;
		}
		assertThatExceptionOfType(IOException.class).isThrownBy(() -> PeerCodec.decode(frame, 0));
	}

	@Test
	void aValueLongerThanItsFrameIsRefusedBeforeMemoryIsTaken() {
		byte[] frame = { RECORDS, 0, 0, 0, (byte) 0xc2, ARRAY_OF_ONE, (byte) 0xa1, 'k', 0, BINARY_32, 0x7f, 0x7f,
				(byte) 0xff, (byte) 0xff, 1 };
		ThreadMXBean threads = ManagementFactory.getPlatformMXBean(ThreadMXBean.class);
		long before = threads.getCurrentThreadAllocatedBytes();
		assertThatExceptionOfType(IOException.class).isThrownBy(() -> PeerCodec.decode(frame, 0));
		assertThat(threads.getCurrentThreadAllocatedBytes() - before).isLessThan(64 << 20);
	}

	@Test
	void aGreetingWithABadAddressOrCapacityIsRefused() {
		for (FleetMember sender : List.of(new FleetMember("vm-1", "127.0.0.1:99999", "a", 1),
				new FleetMember("vm-1", "127.0.0.1:80", "a", Double.NaN),
				new FleetMember("vm-1", "127.0.0.1:80", "a", Double.POSITIVE_INFINITY))) {
			byte[] frame = PeerCodec.encode(new PeerMessage.Hello(sender, 1), 0);
			assertThatExceptionOfType(IOException.class).isThrownBy(() -> PeerCodec.decode(frame, 0));
		}
	}

}
