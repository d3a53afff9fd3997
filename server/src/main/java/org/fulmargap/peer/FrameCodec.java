package org.fulmargap.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import org.fulmargap.membership.Heartbeat;
import org.fulmargap.membership.Hello;
import org.fulmargap.membership.PeerMessage;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes messages as frames and decodes them. A frame is a 4-byte big-endian length,
 * followed by a MessagePack array of message type and body.
 */
final class FrameCodec {

	static final int HEADER_BYTES = 4;

	private static final Map<String, Class<? extends PeerMessage>> CLASSES = Map.of("hello", Hello.class, "heartbeat",
			Heartbeat.class, "outcome_query", PeerMessage.OutcomeQuery.class, "outcome_reply",
			PeerMessage.OutcomeReply.class, "key_query", PeerMessage.KeyQuery.class, "key_reply",
			PeerMessage.KeyReply.class, "order_push", PeerMessage.OrderPush.class, "order_ack",
			PeerMessage.OrderAck.class, "config_fetch", PeerMessage.ConfigFetch.class, "config_reply",
			PeerMessage.ConfigReply.class);

	private static final Map<Class<? extends PeerMessage>, String> TYPES = CLASSES.keySet()
		.stream()
		.collect(Collectors.toMap(CLASSES::get, Function.identity()));

	private final ObjectMapper mapper = new ObjectMapper(new MessagePackFactory())
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

	private final int maxFrameBytes;

	FrameCodec(int maxFrameBytes) {
		this.maxFrameBytes = maxFrameBytes;
	}

	ByteBuffer encode(PeerMessage message) throws FrameException {
		try {
			ArrayNode frame = this.mapper.createArrayNode();
			frame.add(TYPES.get(message.getClass()));
			frame.add(this.mapper.<JsonNode>valueToTree(message));
			byte[] body = this.mapper.writeValueAsBytes(frame);
			if (body.length > this.maxFrameBytes) {
				throw new FrameException(PeerEventType.MESSAGE_NOT_ENCODED,
						TYPES.get(message.getClass()) + " has " + body.length + " bytes");
			}
			return ByteBuffer.allocate(HEADER_BYTES + body.length).putInt(body.length).put(body).flip();
		}
		catch (FrameException ex) {
			throw ex;
		}
		catch (IOException | RuntimeException ex) {
			throw new FrameException(PeerEventType.MESSAGE_NOT_ENCODED, "message cannot be encoded: " + ex.getMessage(),
					ex);
		}
	}

	/**
	 * Checks the length in a frame header before memory is allocated for the body.
	 * @param length the length of the body in bytes
	 * @return the length
	 * @throws FrameException if the length is zero or exceeds the limit
	 */
	int checkedLength(int length) throws FrameException {
		if (length < 1 || length > this.maxFrameBytes) {
			throw new FrameException(PeerEventType.OVERSIZE_FRAME, "frame length " + Integer.toUnsignedString(length));
		}
		return length;
	}

	PeerMessage decode(byte[] body) throws FrameException {
		try {
			JsonNode frame = readTree(body);
			if (frame == null || !frame.isArray() || frame.size() != 2 || !frame.get(0).isTextual()
					|| !frame.get(1).isObject()) {
				throw new FrameException(PeerEventType.BROKEN_FRAME, "frame is not an array of type and body");
			}
			Class<? extends PeerMessage> messageClass = CLASSES.get(frame.get(0).textValue());
			if (messageClass == null) {
				throw new FrameException(PeerEventType.UNKNOWN_TYPE, "unknown message type");
			}
			// The version is read before the body is mapped to a class, because another
			// version may have other fields.
			int version = frame.get(1).path("protocol_version").asInt(-1);
			if (messageClass == Hello.class && version != Hello.PROTOCOL_VERSION) {
				throw new FrameException(PeerEventType.WRONG_VERSION, "protocol version " + version);
			}
			return this.mapper.treeToValue(frame.get(1), messageClass);
		}
		catch (FrameException ex) {
			throw ex;
		}
		catch (IOException | RuntimeException ex) {
			throw new FrameException(PeerEventType.BROKEN_FRAME, "frame cannot be decoded: " + firstLine(ex), ex);
		}
	}

	// FAIL_ON_TRAILING_TOKENS of the mapper cannot be used: it fails at the end of a
	// MessagePack input.
	private JsonNode readTree(byte[] body) throws IOException {
		try (JsonParser parser = this.mapper.createParser(body)) {
			JsonNode frame = this.mapper.readTree(parser);
			if (parser.currentLocation().getByteOffset() != body.length) {
				throw new FrameException(PeerEventType.BROKEN_FRAME, "frame has trailing bytes");
			}
			return frame;
		}
	}

	private static String firstLine(Exception ex) {
		return String.valueOf(ex.getMessage()).lines().findFirst().orElse("");
	}

}
