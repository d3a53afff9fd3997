package org.fulmargap.entry;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;

/**
 * A port that this VM listens on. If it can't be opened, for example because another
 * process still has it, it is tried again until it works. Confined to the event loop but
 * for {@link #open}.
 */
public final class ListeningPort {

	/** The longest time between two tries for a port that callers or VMs need. */
	public static final long MAX_RETRY_MS = 1_000;

	private static final long FIRST_RETRY_MS = 100;

	private final EventLoop loop;

	private final ServerBootstrap bootstrap;

	private final InetSocketAddress address;

	private final long maxRetryMs;

	private Channel channel;

	private boolean closed;

	/**
	 * Creates a port that is not open yet.
	 * @param loop the event loop
	 * @param bootstrap sets up the connections
	 * @param address the address to listen on
	 * @param maxRetryMs the longest time between two tries in milliseconds
	 */
	public ListeningPort(EventLoop loop, ServerBootstrap bootstrap, InetSocketAddress address, long maxRetryMs) {
		this.loop = loop;
		this.bootstrap = bootstrap;
		this.address = address;
		this.maxRetryMs = maxRetryMs;
	}

	/**
	 * Tries to open the port. Returns after the first try; further ones follow until it
	 * is open.
	 * @throws InterruptedException if the thread is interrupted meanwhile
	 */
	public void open() throws InterruptedException {
		open(FIRST_RETRY_MS).await();
	}

	private ChannelFuture open(long retryMs) {
		ChannelFuture bound = this.bootstrap.bind(this.address);
		bound.addListener((done) -> {
			if (done.isSuccess()) {
				opened(bound.channel(), retryMs > FIRST_RETRY_MS);
			}
			else {
				failed(done.cause(), Math.min(retryMs, this.maxRetryMs));
			}
		});
		return bound;
	}

	private void opened(Channel newChannel, boolean afterRetry) {
		this.channel = newChannel;
		if (this.closed) {
			newChannel.close();
		}
		else if (afterRetry) {
			EventLog.state("listening").with("address", this.address).write();
		}
	}

	private void failed(Throwable cause, long retryMs) {
		if (this.closed || this.loop.isShuttingDown()) {
			return;
		}
		EventLog.state("listen_failed")
			.with("address", this.address)
			.with("cause", cause)
			.with("retry_ms", retryMs)
			.write();
		this.loop.schedule(() -> {
			if (!this.closed) {
				open(2 * retryMs);
			}
		}, retryMs, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns whether the port is open.
	 * @return {@code true} if connections are accepted
	 */
	public boolean isOpen() {
		return this.channel != null && this.channel.isActive();
	}

	/**
	 * Accepts no further connections.
	 */
	public void close() {
		this.closed = true;
		if (this.channel != null) {
			this.channel.close();
		}
	}

}
