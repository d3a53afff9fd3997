package org.fulmargap.entry;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The path of one VM to the store, which can be cut.
 */
final class StoreRelay implements AutoCloseable {

	private static final int BLOCK_BYTES = 8_192;

	private final ServerSocket listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final Set<Link> links = ConcurrentHashMap.newKeySet();

	private final String storeAddress;

	private volatile Mode mode = Mode.OPEN;

	/**
	 * Opens the path.
	 * @param storeAddress the address of the store as {@code IP:port}
	 */
	StoreRelay(String storeAddress) throws IOException {
		this.storeAddress = storeAddress;
		this.threads.execute(this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	/**
	 * Sets what happens to connections from now on.
	 */
	void mode(Mode newMode) throws IOException {
		this.mode = newMode;
		if (newMode == Mode.RESET) {
			for (Link link : this.links) {
				link.close();
			}
		}
	}

	/**
	 * Makes all open connections silent for good; new ones work.
	 */
	void silenceOpenConnections() {
		this.links.forEach((link) -> link.silent = true);
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				if (this.mode == Mode.RESET) {
					socket.setSoLinger(true, 0);
					socket.close();
				}
				else {
					String[] store = this.storeAddress.split(":");
					Link link = new Link(socket, new Socket(store[0], Integer.parseInt(store[1])));
					this.links.add(link);
					this.threads.execute(() -> copy(link, link.vm, link.store));
					this.threads.execute(() -> copy(link, link.store, link.vm));
				}
			}
		}
		catch (IOException ex) {
			// The relay was closed.
		}
	}

	private void copy(Link link, Socket from, Socket to) {
		byte[] block = new byte[BLOCK_BYTES];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			int read = in.read(block);
			while (read >= 0) {
				if (!link.silent && this.mode != Mode.SILENT) {
					out.write(block, 0, read);
				}
				else {
					// What was dropped would leave a gap.
					link.silent = true;
				}
				read = in.read(block);
			}
			link.close();
		}
		catch (IOException ex) {
			// One side closed the connection.
		}
		finally {
			this.links.remove(link);
		}
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		for (Link link : this.links) {
			link.close();
		}
		this.threads.shutdownNow();
	}

	/**
	 * What happens to connections.
	 */
	enum Mode {

		/** Connections work. */
		OPEN,

		/** Connections are reset. */
		RESET,

		/** Nothing passes. */
		SILENT

	}

	private static final class Link {

		private final Socket vm;

		private final Socket store;

		private volatile boolean silent;

		private Link(Socket vm, Socket store) {
			this.vm = vm;
			this.store = store;
		}

		private void close() throws IOException {
			this.vm.close();
			this.store.close();
		}

	}

}
