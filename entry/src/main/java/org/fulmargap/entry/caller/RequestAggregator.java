package org.fulmargap.entry.caller;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;

/**
 * Puts the parts of a caller's requests together. Writes nothing while an answer is
 * outstanding, because a caller takes what it receives then for that answer: a request
 * with a body over the limit is passed on as a failed one, so that it is refused in its
 * turn. The rest of its body is dropped. Parts are copied into larger ones, because a
 * part of a few bytes takes far more memory than its content.
 */
final class RequestAggregator extends HttpObjectAggregator {

	/** Parts are gathered up to this size, in bytes. */
	private static final int GATHERED_BYTES = 16_384;

	private final CallerConnection connection;

	// Parts that are not passed on yet; null if there are none.
	private ByteBuf gathered;

	// Whether what arrives is the rest of a body over the limit.
	private boolean dropping;

	/**
	 * Creates an aggregator.
	 * @param maxBodyBytes the highest size of a body in bytes
	 * @param connection the connection that answers the requests
	 */
	RequestAggregator(int maxBodyBytes, CallerConnection connection) {
		super(maxBodyBytes);
		this.connection = connection;
	}

	@Override
	protected void decode(ChannelHandlerContext context, HttpObject part, List<Object> whole) throws Exception {
		this.dropping &= !(part instanceof HttpRequest);
		if (!this.dropping) {
			this.connection.partRead(part instanceof LastHttpContent);
		}
		int bytes = (part instanceof HttpContent content) ? content.content().readableBytes() : 0;
		if (bytes > 0 && bytes < GATHERED_BYTES && !this.dropping && !(part instanceof LastHttpContent)) {
			gather(context, ((HttpContent) part).content(), whole);
		}
		else {
			passGathered(context, whole);
			super.decode(context, part, whole);
		}
		if (!this.dropping && bytes > 0) {
			this.connection.bodyRead(bytes);
		}
	}

	private void gather(ChannelHandlerContext context, ByteBuf content, List<Object> whole) throws Exception {
		if (this.gathered == null) {
			this.gathered = Unpooled.buffer(content.readableBytes());
		}
		this.gathered.writeBytes(content);
		if (this.gathered.readableBytes() >= GATHERED_BYTES) {
			passGathered(context, whole);
		}
	}

	private void passGathered(ChannelHandlerContext context, List<Object> whole) throws Exception {
		if (this.gathered == null) {
			return;
		}
		HttpContent content = new DefaultHttpContent(this.gathered);
		this.gathered = null;
		try {
			super.decode(context, content, whole);
		}
		finally {
			content.release();
		}
	}

	// The aggregator would read on until the request is whole, whatever the connection
	// has asked for.
	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		context.fireChannelReadComplete();
	}

	// A caller that gets no interim answer sends the body after a while. Expectations
	// other than the standard one may be ignored.
	@Override
	protected Object newContinueResponse(HttpMessage request, int maxBodyBytes, ChannelPipeline pipeline) {
		boolean expected = HttpUtil.is100ContinueExpected(request)
				&& HttpUtil.getContentLength(request, 0L) <= maxBodyBytes && !this.connection.hasRequests();
		return (expected) ? super.newContinueResponse(request, maxBodyBytes, pipeline) : null;
	}

	@Override
	protected FullHttpMessage beginAggregation(HttpMessage head, ByteBuf content) throws Exception {
		this.connection.receiving((HttpRequest) head);
		return super.beginAggregation(head, content);
	}

	@Override
	protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
		FullHttpRequest refused = withoutBody((HttpRequest) oversized);
		refused.setDecoderResult(DecoderResult.failure(new TooLongHttpContentException("the body is over the limit")));
		this.dropping = true;
		this.connection.partRead(true);
		context.fireChannelRead(refused);
	}

	/**
	 * Returns a request without its body.
	 * @param head the head of the request
	 * @return the request
	 */
	static FullHttpRequest withoutBody(HttpRequest head) {
		return new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(), Unpooled.EMPTY_BUFFER,
				head.headers(), DefaultHttpHeadersFactory.trailersFactory().newHeaders());
	}

}
