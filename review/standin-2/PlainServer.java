import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A server of a plain service: registers itself in the store, answers with the attempt id
 * and a seal, and crashes when the handler says so.
 */
final class PlainServer implements AutoCloseable {

	private static final String SERVERS = "keyed.servers";

	private final LogStore store;

	private final String service;

	private final String zone;

	private final Handler handler;

	private final ServerSocket listener = new ServerSocket();

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	private final String id = "i-" + Integer.toHexString(ThreadLocalRandom.current().nextInt(1 << 28, 1 << 30));

	private final long bornMs = System.currentTimeMillis();

	private long sequence;

	// The state in the newest entry; guarded by the store.
	private String writtenState;

	private volatile boolean crashed;

	PlainServer(LogStore store, String service, String zone, String ip, int port, Handler handler) throws IOException {
		this.store = store;
		this.service = service;
		this.zone = zone;
		this.handler = handler;
		this.listener.setReuseAddress(true);
		this.listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 200);
		write(nextReport("ready"));
		daemon(this::accept);
	}

	/** Makes the next status report, with the next number. */
	synchronized Report nextReport(String state) {
		this.sequence++;
		return new Report(state, this.sequence);
	}

	/**
	 * Executes a status report in the store. The entry changes when more than the number
	 * changes. Returns whether it did.
	 */
	boolean write(Report report) {
		synchronized (this.store) {
			if (report.state.equals(this.writtenState)) {
				return false;
			}
			this.writtenState = report.state;
			this.store.put(SERVERS, this.id, "{\"service\":\"" + this.service + "\",\"address\":\"" + address()
					+ "\",\"zone\":\"" + this.zone + "\",\"version\":\"1\",\"slots\":6,\"state\":\""
					+ report.state + "\",\"cold-left-ms\":0,\"sequence\":" + report.sequence + ",\"born\":"
					+ this.bornMs + "}");
			return true;
		}
	}

	/** The entry is removed, as after three heartbeats of silence. */
	void deregister() {
		this.store.put(SERVERS, this.id, null);
	}

	String id() {
		return this.id;
	}

	String address() {
		return this.listener.getInetAddress().getHostAddress() + ':' + this.listener.getLocalPort();
	}

	String zone() {
		return this.zone;
	}

	int port() {
		return this.listener.getLocalPort();
	}

	boolean isCrashed() {
		return this.crashed;
	}

	static void daemon(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() {
		while (!this.crashed) {
			try {
				Socket socket = this.listener.accept();
				socket.setTcpNoDelay(true);
				this.connections.add(socket);
				daemon(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
			for (Http request = Http.read(in); request != null && !this.crashed; request = Http.read(in)) {
				String expected = request.header("x-fulmargap-expect-instance");
				if (!expected.isEmpty() && !expected.equals(this.id)) {
					write(socket, 421, request, "X-Fulmargap-Instance-Id: " + this.id + "\r\n", "");
					continue;
				}
				Reply reply = this.handler.handle(this, request);
				if (reply == null) {
					return;
				}
				write(socket, reply.status, request, reply.headers, reply.body);
			}
		}
		catch (IOException ex) {
			// The caller has gone.
		}
		finally {
			this.connections.remove(socket);
		}
	}

	private static void write(Socket socket, int status, Http request, String headers, String body)
			throws IOException {
		String head = "HTTP/1.1 " + status + " X\r\nX-Fulmargap-Attempt-Id: " + request.header("x-fulmargap-attempt-id")
				+ "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n";
		OutputStream out = socket.getOutputStream();
		out.write((head + body).getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	/** Ends like a process that crashes: the port is closed, all connections are reset. */
	synchronized void crash() {
		if (this.crashed) {
			return;
		}
		this.crashed = true;
		try {
			this.listener.close();
		}
		catch (IOException ex) {
			// It is closed.
		}
		for (Socket socket : this.connections) {
			try {
				socket.setSoLinger(true, 0);
				socket.close();
			}
			catch (IOException ex) {
				// It is closed.
			}
		}
	}

	@Override
	public void close() {
		crash();
	}

	/** Decides how a request is answered; null ends the connection. */
	interface Handler {

		Reply handle(PlainServer server, Http request);

	}

	/** A status report. */
	record Report(String state, long sequence) {
	}

	/** An answer. */
	record Reply(int status, String headers, String body) {

		static Reply ok(String body) {
			return new Reply(200, "X-Fulmargap-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n", body);
		}

	}

}
