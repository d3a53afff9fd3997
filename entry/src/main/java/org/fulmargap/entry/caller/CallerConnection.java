package org.fulmargap.entry.caller;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import org.fulmargap.catalog.RequestLimits;
import org.fulmargap.entry.EventLog;

/**
 * The connection of one caller. Passes its requests to the handler one at a time, in
 * order, and writes their answers.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	/**
	 * No more is read while this number of pipelined requests wait for the answer to the
	 * current one.
	 */
	private static final int MAX_PIPELINED = 16;

	/**
	 * The shortest time without progress after which an answer that its caller does not
	 * read is cut, in milliseconds. It is the usual idle timeout: one that an operator
	 * shortens is meant for connections without a request.
	 */
	private static final long MIN_UNREAD_ANSWER_MS = RequestLimits.DEFAULT.idleTimeoutMs();

	/** The longest time from the head of a request to its end, in milliseconds. */
	private static final long MAX_RECEIVE_MS = 60_000;

	/**
	 * How long a caller that sends nothing more has to take its last answer and to close
	 * the connection, if it has sent more than was read, in milliseconds.
	 */
	private static final long LINGER_MS = 1_000;

	/** How long such a caller may go on sending, in milliseconds. */
	private static final long MAX_LINGER_MS = 10_000;

	/**
	 * How long a body waits for memory in all before its request is refused, in
	 * milliseconds.
	 */
	private static final long MAX_MEMORY_WAIT_MS = 1_000;

	/**
	 * The shortest time after which a request that found no memory may be sent again, in
	 * seconds. The longest one is a second more.
	 */
	private static final double MEMORY_RETRY_AFTER_S = 0.5;

	private final CallerServer server;

	private final Deque<Exchange> pipelined = new ArrayDeque<>();

	private final ConnectionEnd end = new ConnectionEnd();

	private ChannelHandlerContext context;

	private Exchange current;

	// The request of which the head was read last, until it is passed on.
	private OpenRequest receiving;

	// The request whose answer was broken off or not written whole.
	private OpenRequest cut;

	// Complete answers of which some bytes are not written to the socket yet.
	private int unwrittenAnswers;

	// Whether a part of a request was read that is not whole yet.
	private boolean partial;

	private boolean closing;

	// Whether the last answer was written, and what arrives is dropped until the caller
	// closes the connection.
	private boolean lingering;

	// Whether a request that was read got no answer, because the one before it was the
	// last.
	private boolean requestDropped;

	private boolean readingStopped;

	private final long acceptedAtMs;

	// How long the connection may have waited to be accepted because of a stall; 0 when
	// what arrived meanwhile was read.
	private long unacceptedMs;

	private long idleSinceMs;

	// At the last check of the idle timeout.
	private long lastUnwrittenBytes;

	// Refuses the request whose body waits for memory; null if none does.
	private Future<?> memoryTimer;

	private long memoryWaitSinceMs;

	// How long the body that is being received has waited for memory before.
	private long memoryWaitedMs;

	CallerConnection(CallerServer server) {
		this.server = server;
		this.acceptedAtMs = server.nowMs();
		this.unacceptedMs = server.stalls().unreadMs();
		if (this.unacceptedMs > 0) {
			// The connection may be read from the turn of the loop after the next one on.
			server.stalls().afterPoll(() -> server.stalls().afterPoll(() -> this.unacceptedMs = 0));
		}
		this.idleSinceMs = this.acceptedAtMs;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext newContext) {
		this.context = newContext;
		this.server.opened(this);
	}

	/**
	 * Records that the head of a request was read.
	 * @param head the head of the request
	 */
	void receiving(HttpRequest head) {
		String account = head.headers().get(HttpHeaderNames.AUTHORIZATION, "");
		// The length in a head that can't be accepted may be no number.
		long statedBytes = (head.decoderResult().isSuccess()) ? HttpUtil.getContentLength(head, 0L) : 0;
		this.receiving = new OpenRequest(head, this.server.nowMs(), unreadMs(),
				this.server.memory().share(account, statedBytes, this::memoryAvailable));
		this.memoryWaitedMs = 0;
	}

	// What is read first may have arrived while the connection waited to be accepted.
	private long unreadMs() {
		return (this.unacceptedMs > 0) ? this.unacceptedMs + this.server.nowMs() - this.acceptedAtMs
				: this.server.stalls().unreadMs();
	}

	/**
	 * Records that a part of the body of the request that is being received was read.
	 * @param bytes the size of the part in bytes
	 */
	void bodyRead(int bytes) {
		if (this.receiving != null) {
			this.receiving.body().add(bytes);
		}
	}

	private void memoryAvailable(boolean available) {
		long nowMs = this.server.nowMs();
		if (available) {
			this.memoryTimer.cancel(false);
			this.memoryTimer = null;
			this.memoryWaitedMs += nowMs - this.memoryWaitSinceMs;
		}
		else {
			this.memoryWaitSinceMs = nowMs;
			this.memoryTimer = scheduleMemoryTimeout(Math.max(0, MAX_MEMORY_WAIT_MS - this.memoryWaitedMs));
		}
		updateReading();
	}

	private Future<?> scheduleMemoryTimeout(long afterMs) {
		return this.context.channel().eventLoop().schedule(this::memoryTimedOut, afterMs, TimeUnit.MILLISECONDS);
	}

	// An answer is due only when those to earlier requests are written.
	private void memoryTimedOut() {
		if (hasRequests()) {
			this.memoryTimer = scheduleMemoryTimeout(MAX_MEMORY_WAIT_MS);
		}
		else if (!this.closing) {
			refuseReceiving();
		}
	}

	private void refuseReceiving() {
		OpenRequest refused = this.receiving;
		EventLog.request("body_refused", refused.id())
			.with("received_bytes", refused.body().receivedBytes())
			.with("all_bytes", this.server.memory().usedBytes())
			.with("age_ms", this.server.nowMs() - refused.sinceMs())
			.write();
		this.receiving = null;
		this.partial = false;
		this.requestDropped = true;
		Exchange exchange = new Exchange(RequestAggregator.withoutBody(refused.head()), refused);
		exchange.keepAlive = false;
		this.current = exchange;
		exchange.refuseForNow();
	}

	/**
	 * Handles a part of a request.
	 * @param last whether the request is whole now
	 */
	void partRead(boolean last) {
		this.partial = !last;
		this.idleSinceMs = this.server.nowMs();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.closing) {
			// The last answer is being written; later requests are dropped.
			this.requestDropped = true;
			this.idleSinceMs = this.server.nowMs();
			ReferenceCountUtil.release(message);
			return;
		}
		FullHttpRequest request = (FullHttpRequest) message;
		Exchange exchange = new Exchange(request, received(request));
		if (!mayStart()) {
			this.pipelined.add(exchange);
			updateReading();
			return;
		}
		start(exchange);
	}

	// A head that can't be accepted is passed on without a call of receiving().
	private OpenRequest received(FullHttpRequest request) {
		if (this.receiving == null) {
			receiving(request);
		}
		OpenRequest received = this.receiving;
		this.receiving = null;
		received.body().whole();
		return received;
	}

	// A caller that does not read its answers gets no further ones, because they would be
	// kept in memory.
	private boolean mayStart() {
		return this.current == null && this.context.channel().isWritable();
	}

	private void start(Exchange exchange) {
		FullHttpRequest request = exchange.request;
		this.current = exchange;
		boolean tooLarge = request.decoderResult().cause() instanceof TooLongHttpContentException;
		if (tooLarge) {
			request.release();
			// A caller that waits for an interim answer may send the body or not, so the
			// place of the next request is not known.
			exchange.keepAlive &= !HttpUtil.is100ContinueExpected(request);
			exchange.refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
			return;
		}
		if (request.decoderResult().isFailure() || isAmbiguous(request)) {
			request.release();
			exchange.keepAlive = false;
			exchange.refuse(HttpResponseStatus.BAD_REQUEST);
			return;
		}
		AbsoluteTarget.of(request.uri()).ifPresent((target) -> {
			request.setUri(target.path());
			request.headers().set(HttpHeaderNames.HOST, target.host());
		});
		exchange.listener = this.server.handler().handle(request, exchange);
	}

	// Two Content-Length headers allow request smuggling: two parsers may disagree on
	// where the request ends. With no Host header or several, the route is ambiguous.
	private static boolean isAmbiguous(FullHttpRequest request) {
		HttpHeaders headers = request.headers();
		return headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1
				|| headers.getAll(HttpHeaderNames.HOST).size() != 1;
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.server.closed(this);
		logOpenRequest();
		this.pipelined.forEach((waiting) -> {
			waiting.request.release();
			waiting.open.end();
		});
		this.pipelined.clear();
		endReceiving();
		Exchange abandoned = this.current;
		this.current = null;
		if (abandoned != null) {
			abandoned.open.end();
		}
		if (abandoned != null && abandoned.listener != null) {
			abandoned.listener.callerLeft();
		}
	}

	private void endReceiving() {
		if (this.memoryTimer != null) {
			this.memoryTimer.cancel(false);
		}
		if (this.receiving != null) {
			this.receiving.end();
		}
	}

	private void logOpenRequest() {
		if (this.cut != null) {
			logClosed(this.cut, OpenRequest.Progress.ANSWERING);
		}
		else if (this.current != null) {
			logClosed(this.current.open,
					(this.current.begun) ? OpenRequest.Progress.ANSWERING : OpenRequest.Progress.RUNNING);
		}
		else if (!this.pipelined.isEmpty()) {
			logClosed(this.pipelined.peek().open, OpenRequest.Progress.READ);
		}
		else if (this.receiving != null) {
			logClosed(this.receiving, (this.closing) ? OpenRequest.Progress.READ : OpenRequest.Progress.RECEIVING);
		}
	}

	private void logClosed(OpenRequest open, OpenRequest.Progress progress) {
		if (this.context.channel().eventLoop().isShuttingDown()) {
			this.end.because(CloseReason.STOPPED);
		}
		this.end.log(open, progress, this.pipelined.size(), this.server.nowMs());
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		boolean writable = context.channel().isWritable();
		if (this.current != null && this.current.listener != null) {
			this.current.listener.writabilityChanged(writable);
		}
		startNext();
	}

	/**
	 * Returns whether a request waits for its answer or is being answered.
	 * @return {@code true} if the next answer on the connection belongs to a request that
	 * was read
	 */
	boolean hasRequests() {
		return this.current != null || !this.pipelined.isEmpty();
	}

	private void startNext() {
		if (mayStart() && !this.closing && !this.pipelined.isEmpty()) {
			Exchange next = this.pipelined.poll();
			updateReading();
			start(next);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		// The decoders report requests that the end of the connection cut as errors.
		if (context.channel().isActive()) {
			this.end.because(cause);
		}
		context.close();
	}

	private void close(CloseReason reason) {
		this.end.because(reason);
		this.context.close();
	}

	/**
	 * Closes the connection if nothing has happened on it for the idle timeout, or if a
	 * request has been arriving for too long. A caller that has not taken its whole
	 * answer has more time.
	 * @param nowMs the current time in milliseconds
	 * @param idleTimeoutMs the idle timeout in milliseconds
	 */
	void closeIfIdle(long nowMs, long idleTimeoutMs) {
		long bytes = unwrittenBytes();
		if (this.current != null || bytes != this.lastUnwrittenBytes) {
			this.idleSinceMs = nowMs;
		}
		this.lastUnwrittenBytes = bytes;
		long timeoutMs = (this.unwrittenAnswers > 0) ? Math.max(idleTimeoutMs, MIN_UNREAD_ANSWER_MS) : idleTimeoutMs;
		if (nowMs - this.idleSinceMs > timeoutMs || isReceivedTooSlowly(nowMs)) {
			close(CloseReason.IDLE);
		}
	}

	// Without a bound, a byte now and then would hold the connection and its memory.
	private boolean isReceivedTooSlowly(long nowMs) {
		return this.partial && this.receiving != null && nowMs - this.receiving.sinceMs() > MAX_RECEIVE_MS;
	}

	private long unwrittenBytes() {
		ChannelOutboundBuffer buffer = this.context.channel().unsafe().outboundBuffer();
		return (buffer != null) ? buffer.totalPendingWriteBytes() - buffer.currentProgress() : 0;
	}

	/**
	 * Returns whether the caller takes its answers more slowly than they are written.
	 * @return {@code true} if much of them is queued
	 */
	boolean isSlow() {
		return !this.context.channel().isWritable() && queuedBytes() > 0;
	}

	/**
	 * Returns the memory of the answers that are not written whole.
	 * @return the number of bytes, those included of which a part is written
	 */
	long queuedBytes() {
		ChannelOutboundBuffer buffer = this.context.channel().unsafe().outboundBuffer();
		return (buffer != null) ? buffer.totalPendingWriteBytes() : 0;
	}

	long idleSinceMs() {
		return this.idleSinceMs;
	}

	/** Closes the connection, because the memory for unread answers is used up. */
	void closeUnread() {
		close(CloseReason.UNREAD);
	}

	/**
	 * Returns whether a request is being read or answered.
	 * @return {@code true} if its caller would lose a request by a close
	 */
	boolean isBusy() {
		return this.partial || hasRequests() || this.unwrittenAnswers > 0 || this.lingering;
	}

	/**
	 * Reads nothing more. What was read of a request that is not whole is dropped.
	 */
	void stopReading() {
		this.readingStopped = true;
		this.partial = false;
		updateReading();
	}

	private void updateReading() {
		this.context.channel().config().setAutoRead(this.lingering || mayRead());
	}

	private boolean mayRead() {
		return !this.readingStopped && this.pipelined.size() < MAX_PIPELINED && this.memoryTimer == null;
	}

	void closeIfUnused() {
		if (!isBusy()) {
			close(CloseReason.UNUSED);
		}
	}

	private void finished(Exchange exchange) {
		if (this.current != exchange) {
			return;
		}
		this.current = null;
		exchange.open.end();
		this.idleSinceMs = this.server.nowMs();
		if (!exchange.keepAlive) {
			this.closing = true;
			return;
		}
		startNext();
		closeIfNotRead();
	}

	// No further request can be read, so the connection is of no use to its caller.
	private void closeIfNotRead() {
		if (this.readingStopped && !isBusy()) {
			closeAfterLastAnswer();
		}
	}

	// A close with unread bytes is a reset, at which the caller loses what it has not
	// taken of its answer. So the rest of what it sends is read and dropped first.
	private void closeAfterLastAnswer() {
		this.closing = true;
		boolean unread = this.requestDropped || this.partial || !mayRead();
		if (!unread || !this.context.channel().isActive()) {
			close(CloseReason.LAST_ANSWER);
			return;
		}
		this.lingering = true;
		endReceiving();
		this.context.pipeline().remove(HttpRequestDecoder.class);
		this.context.pipeline().remove(RequestAggregator.class);
		((DuplexChannel) this.context.channel()).shutdownOutput();
		updateReading();
		linger(this.server.nowMs());
	}

	private void linger(long sinceMs) {
		this.context.channel().eventLoop().schedule(() -> {
			long nowMs = this.server.nowMs();
			if (nowMs - this.idleSinceMs >= LINGER_MS || nowMs - sinceMs >= MAX_LINGER_MS) {
				close(CloseReason.LAST_ANSWER);
			}
			else {
				linger(sinceMs);
			}
		}, LINGER_MS, TimeUnit.MILLISECONDS);
	}

	private final class Exchange implements CallerExchange {

		private final FullHttpRequest request;

		private final OpenRequest open;

		private final boolean isHead;

		private boolean keepAlive;

		private final boolean knowsChunks;

		private boolean begun;

		private CallerListener listener;

		private Exchange(FullHttpRequest request, OpenRequest open) {
			this.request = request;
			this.open = open;
			this.knowsChunks = request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
			this.isHead = request.method().equals(HttpMethod.HEAD);
			this.keepAlive = HttpUtil.isKeepAlive(request);
		}

		private void refuseForNow() {
			double afterSeconds = MEMORY_RETRY_AFTER_S + ThreadLocalRandom.current().nextDouble();
			HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
			headers.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", afterSeconds));
			answer(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), headers, Unpooled.EMPTY_BUFFER);
		}

		private void refuse(HttpResponseStatus status) {
			answer(status.code(), DefaultHttpHeadersFactory.headersFactory().newHeaders(), Unpooled.EMPTY_BUFFER);
		}

		@Override
		public void answer(int status, HttpHeaders headers, ByteBuf body) {
			if (this.begun) {
				abort();
			}
			if (isFinished()) {
				body.release();
				return;
			}
			DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(status), (this.isHead) ? Unpooled.EMPTY_BUFFER : body);
			response.headers().set(headers);
			if (!this.isHead || body.isReadable()) {
				response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
			}
			setConnection(response);
			write(response, true);
		}

		@Override
		public void begin(int status, HttpHeaders headers) {
			if (isFinished()) {
				return;
			}
			this.begun = true;
			HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
			response.headers().set(headers);
			if (this.knowsChunks) {
				response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
			}
			else {
				// The end of the connection ends the body, so any other end is a reset.
				this.keepAlive = false;
				resetOnClose(true);
			}
			setConnection(response);
			CallerConnection.this.context.write(response);
		}

		@Override
		public long waitedMs() {
			return CallerConnection.this.server.nowMs() - this.open.sinceMs() + this.open.unreadMs();
		}

		@Override
		public boolean isConnected() {
			return CallerConnection.this.context.channel().isActive();
		}

		@Override
		public boolean isWritable() {
			return CallerConnection.this.context.channel().isWritable();
		}

		@Override
		public void write(ByteBuf content) {
			if (isFinished()) {
				content.release();
				return;
			}
			CallerConnection.this.context.writeAndFlush(new DefaultHttpContent(content));
			limitUnread();
		}

		private void limitUnread() {
			if (isSlow()) {
				CallerConnection.this.server.limitUnread();
			}
		}

		@Override
		public void end() {
			if (!isFinished()) {
				if (!this.knowsChunks) {
					resetOnClose(false);
				}
				write(LastHttpContent.EMPTY_LAST_CONTENT, true);
			}
		}

		@Override
		public void abort() {
			if (!isFinished()) {
				CallerConnection.this.current = null;
				CallerConnection.this.cut = this.open;
				this.open.end();
				close(CloseReason.ABORTED);
			}
		}

		private void resetOnClose(boolean reset) {
			CallerConnection.this.context.channel().config().setOption(ChannelOption.SO_LINGER, (reset) ? 0 : -1);
		}

		private boolean isFinished() {
			return CallerConnection.this.current != this;
		}

		private void setConnection(HttpResponse response) {
			// After an answer that closes the connection, requests that were read before
			// would get none.
			if (CallerConnection.this.server.isDraining() && CallerConnection.this.pipelined.isEmpty()) {
				this.keepAlive = false;
			}
			if (!this.keepAlive) {
				response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			}
		}

		private void write(Object message, boolean last) {
			var future = CallerConnection.this.context.writeAndFlush(message);
			if (last) {
				CallerConnection.this.unwrittenAnswers++;
				future.addListener((written) -> written(written.isSuccess()));
				finished(this);
			}
			limitUnread();
		}

		private void written(boolean whole) {
			CallerConnection.this.unwrittenAnswers--;
			CallerConnection.this.idleSinceMs = CallerConnection.this.server.nowMs();
			if (!whole) {
				CallerConnection.this.cut = this.open;
				CallerConnection.this.context.close();
			}
			else if (!this.keepAlive) {
				closeAfterLastAnswer();
			}
			else {
				closeIfNotRead();
			}
		}

	}

}
