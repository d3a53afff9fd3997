import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;

/**
 * A sound server: runs one request at a time on a channel and as many at once as it has
 * slots, names its instance, echoes the attempt id and seals its answers. What it runs is
 * recorded.
 */
class Server implements AutoCloseable {

	final String id;

	private final String service;

	private final Record record;

	private final Semaphore slots;

	private final int slotCount;

	private final int port;

	private final Set<Socket> channels = ConcurrentHashMap.newKeySet();

	private ServerSocket listener;

	private long bornMs;

	Server(String id, String service, int slotCount, Record record) throws IOException {
		this.id = id;
		this.service = service;
		this.slotCount = slotCount;
		this.slots = new Semaphore(slotCount, true);
		this.record = record;
		listen(0);
		this.port = this.listener.getLocalPort();
	}

	private void listen(int onPort) throws IOException {
		ServerSocket opened = new ServerSocket(onPort, 1024, InetAddress.getByName("127.0.0.1"));
		this.listener = opened;
		this.bornMs = System.currentTimeMillis();
		start("server-" + this.id, () -> accept(opened));
	}

	/** Ends the server at once, as a crash of its process does. */
	void crash() throws IOException {
		this.record.write("server " + this.id + " crashes");
		this.listener.close();
		for (Socket channel : this.channels) {
			channel.setSoLinger(true, 0);
			channel.close();
		}
		this.channels.clear();
	}

	/** Starts the server again under its id and address. */
	void restart() throws IOException {
		listen(this.port);
		this.record.write("server " + this.id + " starts again");
	}

	String address() {
		return "127.0.0.1:" + this.port;
	}

	/** The record by which the server registers itself in the platform's store. */
	String entry() {
		return "{\"service\":\"" + this.service + "\",\"address\":\"" + address()
				+ "\",\"zone\":\"gent-a\",\"version\":\"v1\",\"slots\":" + this.slotCount
				+ ",\"state\":\"ready\",\"cold-left-ms\":0,\"sequence\":1,\"born\":" + this.bornMs + "}";
	}

	static Thread start(String name, Runnable task) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	private void accept(ServerSocket from) {
		try {
			while (true) {
				Socket socket = from.accept();
				this.channels.add(socket);
				start("channel-" + this.id, () -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The server is closed.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			for (Message request = Message.read(in); request != null; request = Message.read(in)) {
				handle(request, socket.getOutputStream());
			}
		}
		catch (IOException ex) {
			// The entry VM closed the channel.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.channels.remove(socket);
		}
	}

	private void handle(Message request, OutputStream out) throws IOException, InterruptedException {
		String attempt = request.header("x-fulmargap-attempt-id");
		String expected = request.header("x-fulmargap-expect-instance");
		if (!expected.isEmpty() && !expected.equals(this.id)) {
			this.record.write("server " + this.id + " rejects " + attempt + ": not the expected instance");
			answer(out, 421, attempt, "X-Fulmargap-Not-Executed: 1\r\n", new byte[0]);
			return;
		}
		this.slots.acquire();
		try {
			this.record.ran(attempt, this.id);
			run(request, attempt, out);
		}
		finally {
			this.slots.release();
		}
	}

	/** Runs a request and answers it. */
	void run(Message request, String attempt, OutputStream out) throws IOException, InterruptedException {
		answer(out, 200, attempt, seal(attempt), ("ran " + attempt).getBytes(StandardCharsets.UTF_8));
	}

	static String seal(String attempt) {
		return "X-Fulmargap-Server-Seal: seal." + attempt + "\r\n";
	}

	static void answer(OutputStream out, int status, String attempt, String headers, byte[] body) throws IOException {
		String head = "HTTP/1.1 " + status + " Status\r\nX-Fulmargap-Attempt-Id: " + attempt + "\r\n" + headers
				+ "Keep-Alive: timeout=30\r\nContent-Length: " + body.length + "\r\n\r\n";
		out.write(head.getBytes(StandardCharsets.ISO_8859_1));
		out.write(body);
		out.flush();
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

}
