package org.fulmargap.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.LongSupplier;

import org.fulmargap.membership.Hello;
import org.fulmargap.membership.PeerMessage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Event loop of the I/O thread: accepts and opens connections, reads and writes frames,
 * and closes links that fail. A failure of one link does not affect the others.
 */
final class PeerLoop implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(PeerLoop.class);

	// Upper bound of the delay of deadlines and heartbeats.
	private static final long TICK_MS = 20;

	private static final int READ_BUFFER_BYTES = 64 << 10;

	// Connections allowed beyond two per configured peer: for connections that have not
	// received a hello yet, for example while all peers reconnect at once, and for peers
	// that are not configured on this VM.
	private static final int EXTRA_LINKS = 64;

	private final PeerSettings settings;

	private final Hello self;

	private final FrameCodec codec;

	private final Listener listener;

	private final PeerEvents events;

	private final LongSupplier clock;

	private final Selector selector;

	private final ServerSocketChannel server;

	private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

	private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);

	private final LinkTable links;

	private final Thread thread;

	private long lastTickMs;

	private volatile boolean closed;

	private volatile boolean stopped;

	PeerLoop(PeerSettings settings, Hello self, FrameCodec codec, Listener listener, PeerEvents events,
			LongSupplier clock) throws IOException {
		this.settings = settings;
		this.self = self;
		this.codec = codec;
		this.listener = listener;
		this.events = events;
		this.clock = clock;
		this.links = new LinkTable(settings, self);
		this.selector = Selector.open();
		this.server = ServerSocketChannel.open();
		try {
			this.server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
			this.server.bind(settings.listenAddress());
			this.server.configureBlocking(false);
			this.server.register(this.selector, SelectionKey.OP_ACCEPT);
		}
		catch (IOException ex) {
			this.server.close();
			this.selector.close();
			throw ex;
		}
		this.thread = new Thread(this::run, "peer-io");
		this.thread.setDaemon(true);
	}

	void start() {
		this.thread.start();
	}

	InetSocketAddress localAddress() throws IOException {
		return (InetSocketAddress) this.server.getLocalAddress();
	}

	/**
	 * Runs a task on the I/O thread, or on the calling thread if the I/O thread has
	 * stopped.
	 * @param task the task
	 */
	void execute(Runnable task) {
		this.tasks.add(task);
		if (this.stopped) {
			runRemainingTasks();
		}
		else {
			this.selector.wakeup();
		}
	}

	LinkTable links() {
		return this.links;
	}

	void send(PeerLink link, PeerMessage message) {
		try {
			send(link, this.codec.encode(message));
		}
		catch (FrameException ex) {
			this.events.record(ex.type(), link.name(), ex.getMessage());
		}
	}

	void send(PeerLink link, ByteBuffer frame) {
		if (link.isOpen()) {
			try {
				link.send(frame);
			}
			catch (IOException ex) {
				close(link, ex);
			}
		}
	}

	void close(PeerLink link, PeerEventType type, String detail) {
		if (!link.isOpen()) {
			return;
		}
		boolean wasEstablished = link.isEstablished();
		String name = link.name();
		link.close();
		this.links.remove(link);
		boolean report = true;
		for (Dialer dialer : this.links.dialers()) {
			if (dialer.link() == link) {
				report = dialer.ended(wasEstablished, this.clock.getAsLong()) || type.isProtocolFault();
			}
		}
		if (report) {
			boolean replaced = type == PeerEventType.LINK_LOST && wasEstablished && this.links.hasLink(link.remote());
			this.events.record(replaced ? PeerEventType.DUPLICATE_LINK : type, name, detail);
		}
		this.listener.linkClosed(link);
	}

	@Override
	public void close() {
		this.closed = true;
		this.selector.wakeup();
		try {
			this.thread.join(2_000);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void run() {
		try {
			while (!this.closed) {
				this.selector.select(this::handleReady, TICK_MS);
				for (Runnable task = this.tasks.poll(); task != null; task = this.tasks.poll()) {
					runSafely(task);
				}
				runSafely(this::tick);
			}
		}
		catch (IOException ex) {
			logger.error("event=PEER_IO_STOPPED message=\"{}\"", ex.getMessage());
		}
		finally {
			shutDown();
		}
	}

	// Logs an unexpected exception, which must not end the thread of all links.
	private void runSafely(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			logger.error("event=PEER_IO_FAULT", ex);
		}
	}

	private void handleReady(SelectionKey key) {
		if (key.attachment() instanceof PeerLink link) {
			try {
				if (key.isConnectable()) {
					link.finishConnect();
					link.flush();
				}
				if (key.isValid() && key.isWritable()) {
					link.flush();
				}
				if (key.isValid() && key.isReadable()) {
					link.read(this.readBuffer, this.clock.getAsLong(), (frame) -> receiveFrame(link, frame));
				}
			}
			catch (IOException ex) {
				close(link, ex);
			}
			catch (RuntimeException ex) {
				logger.error("event=PEER_IO_FAULT peer={}", link.name(), ex);
				close(link, PeerEventType.LINK_LOST, "internal fault: " + ex);
			}
		}
		else if (key.isValid() && key.isAcceptable()) {
			runSafely(this::accept);
		}
	}

	private void receiveFrame(PeerLink link, byte[] body) {
		if (link.isOpen()) {
			try {
				this.listener.messageReceived(link, this.codec.decode(body));
			}
			catch (FrameException ex) {
				close(link, ex);
			}
		}
	}

	private void close(PeerLink link, IOException ex) {
		if (ex instanceof FrameException frameException) {
			close(link, frameException.type(), ex.getMessage());
		}
		else {
			boolean connecting = link.isDialed() && !link.channel().isConnected();
			close(link, connecting ? PeerEventType.CONNECT_FAILED : PeerEventType.LINK_LOST,
					String.valueOf(ex.getMessage()));
		}
	}

	private void accept() {
		try {
			SocketChannel channel = this.server.accept();
			if (channel == null) {
				return;
			}
			if (this.links.size() >= 2 * this.settings.peers().size() + EXTRA_LINKS) {
				this.events.record(PeerEventType.TOO_MANY_LINKS, String.valueOf(channel.getRemoteAddress()),
						this.links.size() + " connections are open");
				channel.close();
				return;
			}
			register(channel, null, SelectionKey.OP_READ);
		}
		catch (IOException ex) {
			logger.warn("event=PEER_ACCEPT_FAILED message=\"{}\"", ex.getMessage());
		}
	}

	private void dial(Dialer dialer) {
		try {
			SocketChannel channel = SocketChannel.open();
			PeerLink link = register(channel, dialer.address(), SelectionKey.OP_CONNECT);
			dialer.started(link);
			try {
				if (channel.connect(dialer.address())) {
					link.finishConnect();
				}
			}
			catch (IOException ex) {
				close(link, ex);
			}
		}
		catch (IOException ex) {
			logger.warn("event=PEER_DIAL_FAILED message=\"{}\"", ex.getMessage());
		}
	}

	private PeerLink register(SocketChannel channel, InetSocketAddress dialedAddress, int operations)
			throws IOException {
		try {
			channel.configureBlocking(false);
			channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
			SelectionKey key = channel.register(this.selector, operations);
			PeerLink link = new PeerLink(channel, key, dialedAddress, this.codec, this.settings.maxQueuedBytes(),
					this.clock.getAsLong());
			key.attach(link);
			this.links.add(link);
			send(link, this.self);
			return link;
		}
		catch (IOException ex) {
			channel.close();
			throw ex;
		}
	}

	private void tick() {
		long nowMs = this.clock.getAsLong();
		// After a pause of this process or a step of its clock, the time since the last
		// frame of each peer is unknown. Closing all links at once would interrupt the
		// queries pending on them.
		if (nowMs < this.lastTickMs || nowMs - this.lastTickMs >= this.settings.receiveTimeoutMs() / 2) {
			this.links.all().forEach((link) -> link.resetReceiveTimeout(nowMs));
		}
		this.lastTickMs = nowMs;
		for (PeerLink link : this.links.all()) {
			if (nowMs - link.lastReceivedMs() >= this.settings.receiveTimeoutMs()) {
				boolean connecting = !link.channel().isConnected();
				close(link, connecting ? PeerEventType.CONNECT_FAILED : PeerEventType.LINK_SILENT,
						"nothing received for " + (nowMs - link.lastReceivedMs()) + " ms");
			}
		}
		for (Dialer dialer : this.links.dialers()) {
			if (dialer.isDue(nowMs)) {
				if (this.links.hasLinkFromPeer(dialer)) {
					dialer.postpone(nowMs);
				}
				else {
					dial(dialer);
				}
			}
		}
		this.listener.tick(nowMs);
	}

	private void shutDown() {
		this.closed = true;
		this.links.all().forEach((link) -> {
			link.close();
			this.links.remove(link);
		});
		try {
			this.server.close();
			this.selector.close();
		}
		catch (IOException ex) {
			logger.warn("event=PEER_CLOSE_FAILED message=\"{}\"", ex.getMessage());
		}
		this.stopped = true;
		runRemainingTasks();
	}

	// Tasks submitted during the shutdown still run, and the queries that they add are
	// completed without a reply. Otherwise their futures would never complete.
	private synchronized void runRemainingTasks() {
		for (Runnable task = this.tasks.poll(); task != null; task = this.tasks.poll()) {
			runSafely(task);
		}
		this.listener.stopped();
	}

	/**
	 * Receives messages and events of the links on the I/O thread.
	 */
	interface Listener {

		/**
		 * Handles a message.
		 * @param link the link that received it
		 * @param message the message
		 * @throws FrameException if the message is not allowed; the link is then closed
		 */
		void messageReceived(PeerLink link, PeerMessage message) throws FrameException;

		/**
		 * Handles the closing of a link.
		 * @param link the closed link
		 */
		void linkClosed(PeerLink link);

		/**
		 * Sends due heartbeats and pending queries. Called in each iteration of the loop.
		 * @param nowMs the current time in milliseconds since the epoch
		 */
		void tick(long nowMs);

		/**
		 * Handles the shutdown of the loop. May be called several times.
		 */
		void stopped();

	}

}
