package org.fulmargap.peer;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fulmargap.claim.RecordedOutcome;
import org.fulmargap.membership.AdminOrder;
import org.fulmargap.membership.Heartbeat;
import org.fulmargap.membership.Hello;
import org.fulmargap.membership.Incarnation;
import org.fulmargap.membership.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against messages that change when they are encoded and decoded, and against
 * damaged frames that stop the I/O thread because decoding throws an exception other than
 * {@link FrameException}.
 */
class FrameCodecProperties {

	private static final AdminOrder ORDER = new AdminOrder(AdminOrder.Target.endpoint("e1"), AdminOrder.State.OUT, 7,
			"vm-1");

	private static final List<PeerMessage> MESSAGES = List.of(
			new Hello("vm", new Incarnation("vm", 1), "gent-a", Hello.PROTOCOL_VERSION, "127.0.0.1:1"),
			new Heartbeat(new Incarnation("vm", 1), true, 4, 2, Map.of("e1", 5L), Map.of("f", List.of("e1", "e2")), -9,
					List.of(ORDER), List.of("vm2")),
			new PeerMessage.OutcomeQuery(1, "andinas", "k", 500),
			new PeerMessage.OutcomeReply(1, new RecordedOutcome(200, "{\"output\":\"ñ\"}", false)),
			new PeerMessage.OutcomeReply(2, null), new PeerMessage.KeyQuery(3, "andinas", "k"),
			new PeerMessage.KeyReply(3, "ABANDONED"), new PeerMessage.OrderPush(4, ORDER),
			new PeerMessage.OrderAck(4, true), new PeerMessage.ConfigFetch(5),
			new PeerMessage.ConfigReply(5, 8, JsonNodeFactory.instance.objectNode().put("version", 8)));

	private final FrameCodec codec = new FrameCodec(4_096);

	@Example
	void decodesEachMessageUnchanged() throws Exception {
		for (PeerMessage message : MESSAGES) {
			assertThat(this.codec.decode(body(message))).isEqualTo(message);
		}
	}

	@Example
	void rejectsTrailingBytesAndMessagesAboveTheSizeLimit() throws Exception {
		byte[] body = body(MESSAGES.get(0));
		assertThatExceptionOfType(FrameException.class)
			.isThrownBy(() -> this.codec.decode(Arrays.copyOf(body, body.length + 1)));
		assertThatExceptionOfType(FrameException.class).isThrownBy(() -> this.codec
			.encode(new PeerMessage.OutcomeReply(1, new RecordedOutcome(200, "x".repeat(5_000), false))));
	}

	@Property(tries = 20_000, seed = "4301")
	void damagedFramesGiveAMessageOrATypedException(@ForAll Random random) throws Exception {
		byte[] body = body(MESSAGES.get(random.nextInt(MESSAGES.size())));
		if (random.nextInt(4) == 0) {
			body = Arrays.copyOf(body, random.nextInt(body.length + 1));
		}
		for (int i = random.nextInt(4); i >= 0 && body.length > 0; i--) {
			// Bytes from 0xc0 are MessagePack type codes, among them those with 32-bit
			// lengths.
			body[random.nextInt(
					body.length)] = (byte) (random.nextBoolean() ? 0xc0 + random.nextInt(64) : random.nextInt(256));
		}
		try {
			assertThat(this.codec.decode(body)).isNotNull();
		}
		catch (FrameException ex) {
			assertThat(ex.type().isProtocolFault()).isTrue();
		}
	}

	private byte[] body(PeerMessage message) throws FrameException {
		ByteBuffer frame = this.codec.encode(message);
		byte[] body = new byte[frame.getInt()];
		frame.get(body);
		return body;
	}

}
