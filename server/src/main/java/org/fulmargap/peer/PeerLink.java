package org.fulmargap.peer;

import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

import org.fulmargap.membership.Hello;

/**
 * One connection to a peer. Used by the I/O thread only.
 */
final class PeerLink {

	private final SocketChannel channel;

	private final SelectionKey key;

	private final InetSocketAddress dialedAddress;

	private final FrameCodec codec;

	private final int maxQueuedBytes;

	private final Deque<ByteBuffer> queue = new ArrayDeque<>();

	private final ByteBuffer header = ByteBuffer.allocate(FrameCodec.HEADER_BYTES);

	private ByteBuffer body;

	private int queuedBytes;

	private Hello remote;

	private long lastReceivedMs;

	private long peerOrdersChecksum;

	private boolean peerOrdersKnown;

	private boolean open = true;

	/**
	 * Creates a link for a registered channel.
	 * @param channel the channel, connected or connecting
	 * @param key the registration of the channel
	 * @param dialedAddress the address that was dialed, or {@code null} for accepted
	 * links
	 * @param codec checks the length of received frames
	 * @param maxQueuedBytes the largest number of bytes queued for sending
	 * @param nowMs the current time in milliseconds since the epoch
	 */
	PeerLink(SocketChannel channel, SelectionKey key, InetSocketAddress dialedAddress, FrameCodec codec,
			int maxQueuedBytes, long nowMs) {
		this.channel = channel;
		this.key = key;
		this.dialedAddress = dialedAddress;
		this.codec = codec;
		this.maxQueuedBytes = maxQueuedBytes;
		this.lastReceivedMs = nowMs;
	}

	boolean isDialed() {
		return this.dialedAddress != null;
	}

	InetSocketAddress dialedAddress() {
		return this.dialedAddress;
	}

	SocketChannel channel() {
		return this.channel;
	}

	boolean isOpen() {
		return this.open;
	}

	boolean isEstablished() {
		return this.open && this.remote != null;
	}

	Hello remote() {
		return this.remote;
	}

	void establish(Hello hello) {
		this.remote = hello;
	}

	long lastReceivedMs() {
		return this.lastReceivedMs;
	}

	void resetReceiveTimeout(long nowMs) {
		this.lastReceivedMs = nowMs;
	}

	boolean isIdle() {
		return this.queue.isEmpty();
	}

	void setPeerOrdersChecksum(long checksum) {
		this.peerOrdersChecksum = checksum;
		this.peerOrdersKnown = true;
	}

	boolean lacksOrders(long checksum) {
		return !this.peerOrdersKnown || this.peerOrdersChecksum != checksum;
	}

	String name() {
		if (this.remote != null) {
			return this.remote.vm();
		}
		if (this.dialedAddress != null) {
			return PeerAddresses.format(this.dialedAddress);
		}
		try {
			return PeerAddresses.format((InetSocketAddress) this.channel.getRemoteAddress());
		}
		catch (IOException | RuntimeException ex) {
			return "unknown";
		}
	}

	/**
	 * Completes a connection attempt.
	 * @throws IOException if the connection could not be established
	 */
	void finishConnect() throws IOException {
		this.channel.finishConnect();
		updateInterestOps();
	}

	/**
	 * Queues a frame and writes as much of the queue as the socket accepts.
	 * @param frame the frame; neither its content nor its position is changed
	 * @throws IOException if the connection failed or too many bytes are queued
	 */
	void send(ByteBuffer frame) throws IOException {
		if (this.queuedBytes + frame.remaining() > this.maxQueuedBytes) {
			throw new FrameException(PeerEventType.QUEUE_FULL, this.queuedBytes + " bytes are queued");
		}
		this.queue.add(frame.duplicate());
		this.queuedBytes += frame.remaining();
		flush();
	}

	void flush() throws IOException {
		while (!this.queue.isEmpty() && this.channel.isConnected()) {
			ByteBuffer first = this.queue.peek();
			this.queuedBytes -= this.channel.write(first);
			if (first.hasRemaining()) {
				break;
			}
			this.queue.remove();
		}
		updateInterestOps();
	}

	/**
	 * Reads available bytes and passes on complete frames.
	 * @param buffer the buffer to read into; its content is overwritten
	 * @param nowMs the current time in milliseconds since the epoch
	 * @param frames receives the body of each frame
	 * @throws IOException if the connection was closed or failed, or if the length of a
	 * frame is not allowed
	 */
	void read(ByteBuffer buffer, long nowMs, Consumer<byte[]> frames) throws IOException {
		buffer.clear();
		int count = this.channel.read(buffer);
		if (count < 0) {
			throw new EOFException("connection closed by peer");
		}
		buffer.flip();
		while (this.open && buffer.hasRemaining()) {
			if (this.body == null) {
				transfer(buffer, this.header);
				if (!this.header.hasRemaining()) {
					this.body = ByteBuffer.allocate(this.codec.checkedLength(this.header.flip().getInt()));
					this.header.clear();
				}
			}
			else {
				transfer(buffer, this.body);
				if (!this.body.hasRemaining()) {
					byte[] frame = this.body.array();
					this.body = null;
					// Only complete frames reset the receive timeout, so that a peer that
					// stops in the middle of a frame is detected.
					this.lastReceivedMs = nowMs;
					frames.accept(frame);
				}
			}
		}
	}

	void close() {
		this.open = false;
		this.queue.clear();
		this.key.cancel();
		try {
			this.channel.close();
		}
		catch (IOException ex) {
			// The file descriptor is released even if close fails.
		}
	}

	private void updateInterestOps() {
		if (this.key.isValid() && this.channel.isConnected()) {
			this.key.interestOps(SelectionKey.OP_READ | (this.queue.isEmpty() ? 0 : SelectionKey.OP_WRITE));
		}
	}

	private static void transfer(ByteBuffer from, ByteBuffer to) {
		int count = Math.min(from.remaining(), to.remaining());
		to.put(to.position(), from, from.position(), count);
		to.position(to.position() + count);
		from.position(from.position() + count);
	}

}
