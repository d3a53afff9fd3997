package org.fulmargap.entry.peer;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

import org.fulmargap.placement.Brittleness;
import org.fulmargap.placement.EndpointProcess;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes what VMs tell each other about brittle endpoints, the last field of a
 * heartbeat.
 */
final class BrittleCodec {

	private BrittleCodec() {
	}

	static void write(MessageBufferPacker out, Map<EndpointProcess, Brittleness> brittle, long nowMs)
			throws IOException {
		out.packMapHeader(brittle.size());
		for (Map.Entry<EndpointProcess, Brittleness> entry : brittle.entrySet()) {
			Brittleness brittleness = entry.getValue();
			out.packString(entry.getKey().endpoint()).packLong(entry.getKey().startedAtMs());
			out.packInt(brittleness.rejectionsPerSecond()).packLong(brittleness.observedAtMs() - nowMs);
		}
	}

	static Map<EndpointProcess, Brittleness> read(MessageUnpacker in, long nowMs) throws IOException {
		Map<EndpointProcess, Brittleness> brittle = new HashMap<>();
		for (int i = PeerCodec.readMapSize(in); i > 0; i--) {
			EndpointProcess process = new EndpointProcess(in.unpackString(), in.unpackLong());
			brittle.put(process, new Brittleness(in.unpackInt(), nowMs + Math.min(0, in.unpackLong())));
		}
		return brittle;
	}

}
