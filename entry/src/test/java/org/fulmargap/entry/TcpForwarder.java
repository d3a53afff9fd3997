package org.fulmargap.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/**
 * Forwards TCP connections to an address and can cut, silence, delay or refuse them.
 */
final class TcpForwarder implements AutoCloseable {

	private static final int BUFFER_BYTES = 1 << 16;

	private static final int BACKLOG = 16;

	private static final int POLL_MS = 5;

	private final ServerSocket listener;

	private final InetSocketAddress target;

	private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

	private final List<SocketChannel> fillers = new ArrayList<>();

	private volatile Mode mode = Mode.FORWARD;

	private volatile Predicate<String> held = (greeting) -> false;

	private volatile long delayMs;

	/**
	 * Starts to listen.
	 * @param address the address to listen on; port 0 for any
	 * @param target the address to forward to, which may not be open yet
	 * @throws IOException if it can't listen
	 */
	TcpForwarder(InetSocketAddress address, InetSocketAddress target) throws IOException {
		this.listener = new ServerSocket(address.getPort(), BACKLOG, address.getAddress());
		this.target = target;
		start(this::accept);
	}

	static InetSocketAddress address(String address) throws IOException {
		int colon = address.lastIndexOf(':');
		return new InetSocketAddress(InetAddress.getByName(address.substring(0, colon)),
				Integer.parseInt(address.substring(colon + 1)));
	}

	String address() {
		return this.listener.getInetAddress().getHostAddress() + ':' + this.listener.getLocalPort();
	}

	/**
	 * Sets what happens to requests from now on.
	 * @param newMode the mode
	 */
	void mode(Mode newMode) throws IOException {
		this.mode = newMode;
		if (newMode == Mode.CUT) {
			// With a full queue the kernel drops the first packets of connections, as a
			// partition does.
			for (int i = 0; i <= BACKLOG + 1; i++) {
				SocketChannel filler = SocketChannel.open();
				filler.configureBlocking(false);
				filler.connect(this.listener.getLocalSocketAddress());
				this.fillers.add(filler);
			}
			return;
		}
		for (SocketChannel filler : this.fillers) {
			filler.close();
		}
		this.fillers.clear();
	}

	/**
	 * Holds back the bytes of connections in both directions, also of those that open
	 * later.
	 * @param newHeld selects the connections by the first bytes of the client
	 */
	void hold(Predicate<String> newHeld) {
		this.held = newHeld;
	}

	/**
	 * Delays what the target sends.
	 * @param newDelayMs the delay in milliseconds
	 */
	void delayMs(long newDelayMs) {
		this.delayMs = newDelayMs;
	}

	/**
	 * Makes open connections deliver nothing any more, without closing them.
	 * @param selected selects the connections by the first bytes of the client
	 */
	void silence(Predicate<String> selected) {
		this.connections.stream()
			.filter((connection) -> connection.greeting == null || selected.test(connection.greeting))
			.forEach((connection) -> connection.silent = true);
	}

	/**
	 * Resets open connections on both sides.
	 * @param selected selects the connections by the first bytes of the client
	 */
	void reset(Predicate<String> selected) {
		this.connections.stream()
			.filter((connection) -> connection.greeting == null || selected.test(connection.greeting))
			.forEach(Connection::reset);
	}

	private static void start(Runnable task) {
		Thread thread = new Thread(task, "forwarder");
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() {
		try {
			while (true) {
				if (this.mode == Mode.CUT) {
					Thread.sleep(POLL_MS);
					continue;
				}
				Socket client = this.listener.accept();
				start(() -> forward(client));
			}
		}
		catch (IOException ex) {
			// The forwarder is closed.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void forward(Socket client) {
		Socket server = new Socket();
		Connection connection = new Connection(client, server);
		this.connections.add(connection);
		try {
			client.setTcpNoDelay(true);
			server.setTcpNoDelay(true);
			server.connect(this.target);
			start(() -> pump(connection, server, client));
			pump(connection, client, server);
		}
		catch (IOException ex) {
			connection.close();
		}
	}

	private void pump(Connection connection, Socket from, Socket to) {
		byte[] buffer = new byte[BUFFER_BYTES];
		boolean fromClient = from == connection.client;
		try {
			InputStream in = from.getInputStream();
			for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
				if (fromClient && connection.greeting == null) {
					connection.greeting = new String(buffer, 0, count, StandardCharsets.ISO_8859_1);
				}
				Thread.sleep((fromClient) ? 0 : this.delayMs);
				awaitPassage(connection);
				if (!connection.silent && (!fromClient || !refuse(connection))) {
					to.getOutputStream().write(buffer, 0, count);
				}
			}
			awaitPassage(connection);
		}
		catch (IOException ex) {
			// Closed below.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		connection.close();
	}

	private void awaitPassage(Connection connection) throws InterruptedException {
		while (!this.listener.isClosed()
				&& (this.mode == Mode.CUT || (connection.greeting != null && this.held.test(connection.greeting)))) {
			Thread.sleep(POLL_MS);
		}
	}

	// A request that arrives while requests are turned away is not forwarded.
	private boolean refuse(Connection connection) throws IOException {
		Mode current = this.mode;
		if (current == Mode.UNAVAILABLE || current == Mode.BUSY) {
			int status = (current == Mode.BUSY) ? 429 : 503;
			connection.client.getOutputStream()
				.write(("HTTP/1.1 " + status + " Refused\r\nContent-Length: 0\r\n\r\n")
					.getBytes(StandardCharsets.US_ASCII));
			return true;
		}
		if (current == Mode.RESET) {
			connection.client.setSoLinger(true, 0);
			connection.close();
			return true;
		}
		connection.silent = connection.silent || current == Mode.NO_ANSWER;
		return connection.silent;
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		this.connections.forEach(Connection::close);
		for (SocketChannel filler : this.fillers) {
			filler.close();
		}
	}

	/**
	 * What happens to the requests that clients send.
	 */
	enum Mode {

		/** They are forwarded. */
		FORWARD,

		/** They are answered with status 503. */
		UNAVAILABLE,

		/** They are answered with status 429. */
		BUSY,

		/** Their connections are reset. */
		RESET,

		/** Their connections deliver nothing any more. */
		NO_ANSWER,

		/** Bytes are held back in both directions, and no connection can be opened. */
		CUT

	}

	private final class Connection {

		private final Socket client;

		private final Socket server;

		private volatile String greeting;

		private volatile boolean silent;

		private Connection(Socket client, Socket server) {
			this.client = client;
			this.server = server;
		}

		private void reset() {
			try {
				this.client.setSoLinger(true, 0);
				this.server.setSoLinger(true, 0);
			}
			catch (IOException ex) {
				// The connection has ended.
			}
			close();
		}

		private void close() {
			TcpForwarder.this.connections.remove(this);
			try (this.client; this.server) {
				// Both are closed.
			}
			catch (IOException ex) {
				// Closing a socket that is broken.
			}
		}

	}

}
