package org.fulmargap.entry.endpoint;

import java.util.List;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the answers on a connection to an endpoint. Bytes that arrive while no call is
 * in flight are not decoded: they belong to no call, and the start of an answer among
 * them would be joined with the next one. An answer to a HEAD request has no body,
 * whatever length it states. A head with an invalid status is invalid HTTP: taken for an
 * interim answer, one like 000 would make the call wait for another answer.
 */
final class AnswerDecoder extends HttpResponseDecoder {

	/** The parser accepts any integer, also one with a sign or leading zeros. */
	private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

	private final EndpointConnection connection;

	AnswerDecoder(EndpointConnection connection) {
		this.connection = connection;
	}

	/**
	 * Returns the bytes that were received behind the message that is handled now.
	 * @return the bytes, valid while the message is handled
	 */
	ByteBuf unread() {
		return internalBuffer();
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
		if (this.connection.hasCall()) {
			super.decode(context, in, out);
			return;
		}
		in.skipBytes(in.readableBytes());
		this.connection.receivedWithoutCall();
	}

	// The end of the input may end a body, so the connection has to know of it before.
	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
		if (event instanceof ChannelInputShutdownEvent) {
			this.connection.outputEnded();
		}
		super.userEventTriggered(context, event);
	}

	@Override
	protected HttpMessage createMessage(String[] initialLine) {
		if (!STATUS.matcher(initialLine[1]).matches()) {
			throw new IllegalArgumentException("the status is not 100 to 599 in three digits");
		}
		return super.createMessage(initialLine);
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage head) {
		return super.isContentAlwaysEmpty(head) || this.connection.isAnswerToHead((HttpResponse) head);
	}

}
