package org.fulmargap.entry.endpoint;

import java.net.InetSocketAddress;
import java.util.function.Supplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.fulmargap.entry.EventLog;
import org.fulmargap.platform.EndpointAnswer;
import org.fulmargap.platform.EndpointHeaders;

/**
 * A connection to an endpoint, which carries one call at a time. An answer with the
 * attempt id of another call is skipped. A head that was put together from two, an answer
 * without an attempt id to a call that has one, any other answer that may belong to
 * another call, and bytes that arrive while no call is in flight close the connection.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter implements EndpointPool.RunningCall {

	private static final int FIRST_FINAL_STATUS = 200;

	/** Further interim answers and answers to other calls close the connection. */
	private static final int MAX_SKIPPED_ANSWERS = 16;

	/** Larger answers to other calls close the connection. */
	private static final long MAX_SKIPPED_BYTES = 1 << 20;

	/**
	 * More parts of answers to other calls close the connection, because a part of a few
	 * bytes costs the event loop far more than its size.
	 */
	private static final int MAX_SKIPPED_PARTS = 10_000;

	/**
	 * A connection is closed after this number of calls, so that copies of answers can be
	 * recognised with a bounded memory.
	 */
	private static final int MAX_CALLS = 100;

	private final EndpointPool pool;

	private final String address;

	private final Channel channel;

	private final String relay;

	private final AnswerDecoder decoder = new AnswerDecoder(this);

	private EndpointCall call;

	private boolean isHead;

	private int calls;

	// The newest head since the call was sent, also of an answer that is skipped.
	private EndpointAnswer newestAnswer;

	private JoinedBody joinedBody;

	private boolean requestWritten;

	// Whether the endpoint has ended its output, which a connection through another VM
	// tells apart from its own end.
	private boolean outputEnded;

	private boolean withdrawn;

	private boolean isSuccess;

	private boolean skipping;

	private int skippedAnswers;

	private long skippedBytes;

	private int skippedParts;

	private boolean closesAfterAnswer;

	private long idleTimeoutMs = -1;

	private long idleSinceMs;

	EndpointConnection(EndpointPool pool, String address, Channel channel, String relay) {
		this.pool = pool;
		this.address = address;
		this.channel = channel;
		this.relay = relay;
	}

	AnswerDecoder decoder() {
		return this.decoder;
	}

	String address() {
		return this.address;
	}

	@Override
	public String relay() {
		return this.relay;
	}

	/**
	 * Returns whether the connection goes through another VM.
	 * @return {@code false} if it is a direct one
	 */
	boolean isRelayed() {
		return !this.relay.equals(EndpointConnector.DIRECT);
	}

	long idleTimeoutMs() {
		return this.idleTimeoutMs;
	}

	long idleSinceMs() {
		return this.idleSinceMs;
	}

	boolean isOpen() {
		return this.channel.isActive() && !this.outputEnded;
	}

	boolean hasCall() {
		return this.call != null;
	}

	/**
	 * Returns whether an answer belongs to a HEAD request. An answer to another request
	 * is skipped and ends where its own head says.
	 * @param head the head of the answer
	 * @return {@code true} if no body follows
	 */
	boolean isAnswerToHead(HttpResponse head) {
		return this.isHead && !isForeign(decode(head));
	}

	/**
	 * Records that the endpoint has ended its output. A body without a length ends with
	 * it.
	 */
	void outputEnded() {
		this.outputEnded = true;
	}

	/**
	 * Closes the connection, because bytes arrived that belong to no call. The rest of
	 * what was read before it was closed is dropped.
	 */
	void receivedWithoutCall() {
		if (this.channel.isOpen()) {
			reject(AnswerFault.NO_CALL);
		}
	}

	/**
	 * Sends a request, unless it is withdrawn while it is encoded. The call fails after
	 * this method has returned.
	 * @param request makes the request
	 * @param newCall receives the answer or the failure
	 */
	void send(Supplier<FullHttpRequest> request, EndpointCall newCall) {
		FullHttpRequest http = request.get();
		this.call = newCall;
		this.pool.callStarted(this);
		this.isHead = http.method().equals(HttpMethod.HEAD);
		this.calls++;
		this.newestAnswer = null;
		this.requestWritten = false;
		this.skipping = false;
		this.skippedAnswers = 0;
		this.skippedBytes = 0;
		this.skippedParts = 0;
		this.channel.write(http).addListener((future) -> {
			this.requestWritten = future.isSuccess();
			if (!future.isSuccess()) {
				// A write may fail at once.
				this.channel.eventLoop().execute(() -> writeFailed(newCall));
			}
		});
		if (newCall.maySend()) {
			this.channel.flush();
			return;
		}
		this.withdrawn = true;
		this.channel.close();
	}

	private void writeFailed(EndpointCall failed) {
		if (this.call == failed) {
			fail(CallFailure.CONNECTION_LOST);
		}
	}

	@Override
	public void cancel() {
		endOfCall();
		this.channel.close();
	}

	@Override
	public void reading(boolean reading) {
		this.channel.config().setAutoRead(reading);
	}

	void close() {
		this.channel.close();
	}

	private EndpointCall endOfCall() {
		EndpointCall ended = this.call;
		this.call = null;
		this.pool.callEnded(this);
		return ended;
	}

	private void fail(CallFailure failure) {
		EndpointCall failed = endOfCall();
		this.channel.close();
		if (failed != null) {
			failed.failed((this.withdrawn) ? CallFailure.WITHDRAWN : failure);
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		this.pool.received(this);
		try {
			read((HttpObject) message);
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void read(HttpObject message) {
		if (this.call == null) {
			return;
		}
		if (message.decoderResult().isFailure()) {
			reject(AnswerFault.INVALID_HTTP);
			return;
		}
		if (message instanceof HttpResponse head) {
			readHead(head);
		}
		if (message instanceof HttpContent content && this.call != null) {
			readContent(content);
		}
	}

	private void readHead(HttpResponse head) {
		EndpointAnswer answer = decode(head);
		boolean isFinal = answer.status() >= FIRST_FINAL_STATUS;
		this.newestAnswer = answer;
		this.joinedBody = new JoinedBody(this.call.attemptId());
		if (JoinedHeads.matches(head)) {
			reject(AnswerFault.JOINED_HEADS);
			return;
		}
		if (EndpointHeaders.isAmbiguous((name) -> head.headers().getAll(name))) {
			reject(AnswerFault.SEVERAL_ATTEMPT_IDS);
			return;
		}
		this.call.headRead(answer);
		if (isFinal && lacksAttemptId(answer)) {
			reject(AnswerFault.NO_ATTEMPT_ID);
			return;
		}
		this.skipping = !isFinal || isForeign(answer);
		if (this.skipping) {
			skip(isFinal);
			return;
		}
		this.closesAfterAnswer = answer.closes();
		this.idleTimeoutMs = answer.idleTimeoutMs();
		this.isSuccess = answer.isSuccess();
		this.call.answered(answer, head);
	}

	private static EndpointAnswer decode(HttpResponse head) {
		return EndpointHeaders.decode(head.status().code(), (name) -> head.headers().get(name));
	}

	private void skip(boolean isFinal) {
		if (isFinal) {
			logFault(AnswerFault.OTHER_ATTEMPT_ID);
		}
		this.skippedAnswers++;
		if (this.skippedAnswers > MAX_SKIPPED_ANSWERS) {
			reject(AnswerFault.TOO_MANY_SKIPPED);
		}
	}

	// Such an answer may belong to an earlier call, so that it says nothing about this
	// one.
	private boolean lacksAttemptId(EndpointAnswer answer) {
		return !this.call.attemptId().isEmpty() && answer.attemptId().isEmpty();
	}

	private boolean isForeign(EndpointAnswer answer) {
		return !this.call.attemptId().isEmpty() && !answer.attemptId().equals(this.call.attemptId());
	}

	private void readContent(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (last && JoinedHeads.matches(((LastHttpContent) content).trailingHeaders())) {
			reject(AnswerFault.JOINED_HEADS);
			return;
		}
		if (this.joinedBody.add(content.content()) || (last && this.joinedBody.goesOnIn(this.decoder.unread()))) {
			reject(AnswerFault.JOINED_BODY);
			return;
		}
		if (this.skipping) {
			this.skippedBytes += content.content().readableBytes();
			this.skippedParts++;
			if (this.skippedBytes > MAX_SKIPPED_BYTES || this.skippedParts > MAX_SKIPPED_PARTS) {
				reject(AnswerFault.SKIPPED_TOO_LONG);
			}
			return;
		}
		if (content.content().isReadable() && !this.call.received(content.content())) {
			reject(AnswerFault.BODY_REFUSED);
			return;
		}
		if (last && this.call != null) {
			endCall();
		}
	}

	private void endCall() {
		// A body without a length is complete only if the endpoint has ended its output.
		// The parser also ends it when the connection is closed for any other reason.
		if (!this.channel.isActive() || isCutBeforeRequest()) {
			fail(CallFailure.CONNECTION_LOST);
			return;
		}
		EndpointCall completed = endOfCall();
		boolean attributed = completed.ended();
		if (!attributed) {
			EventLog.state("answer_not_attributed")
				.with("address", this.address)
				.with("local_port", localPort())
				.write();
		}
		// If the answer is complete before the request is written, the endpoint may not
		// have read the whole request, so the connection can't be reused. After a HEAD
		// request it can't either: the end of a late copy of its answer is not known.
		if (!attributed || this.closesAfterAnswer || !this.requestWritten || this.isHead || this.calls >= MAX_CALLS) {
			this.channel.close();
			return;
		}
		this.idleSinceMs = this.pool.nowMs();
		reading(true);
		this.pool.release(this);
	}

	// The output of a process that ends while it reads a request ends like that of a
	// complete answer without a length. A request that was not read whole can't have
	// succeeded, but may have been rejected.
	private boolean isCutBeforeRequest() {
		return this.outputEnded && this.isSuccess && !this.requestWritten;
	}

	private void reject(AnswerFault fault) {
		logFault(fault);
		fail(CallFailure.WRONG_ANSWER);
	}

	private void logFault(AnswerFault fault) {
		EventLog.state("answer_fault")
			.with("request", (this.call != null) ? this.call.attemptId() : "")
			.with("address", this.address)
			.with("local_port", localPort())
			.with("fault", fault)
			.with("answer_id", (this.newestAnswer != null) ? this.newestAnswer.attemptId() : "")
			.with("status", (this.newestAnswer != null) ? this.newestAnswer.status() : 0)
			.with("connection_calls", this.calls)
			.write();
	}

	@Override
	public int localPort() {
		return (this.channel.localAddress() instanceof InetSocketAddress local) ? local.getPort() : 0;
	}

	// A body that the end of the input completes has ended before this event.
	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof ChannelInputShutdownEvent) {
			this.channel.close();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		fail(CallFailure.CONNECTION_LOST);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.pool.closed(this);
		fail(CallFailure.CONNECTION_LOST);
	}

}
