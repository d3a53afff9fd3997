package org.fulmargap.endpoint;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

/**
 * Endpoint on plain sockets, which gives tests control over each byte and connection.
 */
public final class FakeEndpoint implements AutoCloseable {

	private final ServerSocket server;

	private final Handler handler;

	private final List<Received> stages = new CopyOnWriteArrayList<>();

	private final List<Received> otherRequests = new CopyOnWriteArrayList<>();

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	private final CountDownLatch closed = new CountDownLatch(1);

	private volatile List<String> listedAttempts = List.of();

	private volatile boolean answersProbes = true;

	public FakeEndpoint(Handler handler) throws IOException {
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		this.handler = handler;
		start(this::accept);
	}

	private static void start(Runnable task) {
		Thread thread = new Thread(task, "fake-endpoint");
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				this.sockets.add(socket);
				start(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			for (Received request = read(in); request != null; request = read(in)) {
				if (request.line().startsWith("POST /v1/stages/")) {
					this.stages.add(request);
					this.handler.handle(request, new Reply(socket, this.closed));
				}
				else {
					this.otherRequests.add(request);
					answerProbe(request, new Reply(socket, this.closed));
				}
			}
		}
		catch (IOException | InterruptedException ex) {
			// The connection was closed.
		}
	}

	private void answerProbe(Received request, Reply reply) throws IOException, InterruptedException {
		if (!this.answersProbes) {
			reply.hang();
		}
		String attempts = String.join(",", this.listedAttempts.stream().map((id) -> '"' + id + '"').toList());
		reply.json(200, Map.of(), "{\"incarnation\":\"i1\",\"in_flight\":0,\"queued\":0,\"capacity\":4,"
				+ "\"reported_at_ms\":" + System.currentTimeMillis() + ",\"attempts\":[" + attempts + "]}");
	}

	private static Received read(InputStream in) throws IOException {
		String line = line(in);
		if (line.isEmpty()) {
			return null;
		}
		Map<String, String> headers = new TreeMap<>();
		for (String header = line(in); !header.isEmpty(); header = line(in)) {
			int colon = header.indexOf(':');
			headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
		}
		int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
		return new Received(line, headers, new String(in.readNBytes(length), StandardCharsets.UTF_8));
	}

	private static String line(InputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		for (int c = in.read(); c >= 0 && c != '\n'; c = in.read()) {
			if (c != '\r') {
				line.append((char) c);
			}
		}
		return line.toString();
	}

	public String url() {
		return "http://127.0.0.1:" + this.server.getLocalPort();
	}

	public List<Received> stages() {
		return this.stages;
	}

	List<Received> otherRequests() {
		return this.otherRequests;
	}

	public void listAttempts(String... attempts) {
		this.listedAttempts = List.of(attempts);
	}

	void stopAnsweringProbes() {
		this.answersProbes = false;
	}

	@Override
	public void close() throws IOException {
		this.closed.countDown();
		this.server.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	/**
	 * Handles the stage requests that the endpoint receives.
	 */
	public interface Handler {

		void handle(Received request, Reply reply) throws IOException, InterruptedException;

	}

	/**
	 * A request that the endpoint received.
	 *
	 * @param line the request line
	 * @param headers the headers by lower-case name
	 * @param body the body
	 */
	public record Received(String line, Map<String, String> headers, String body) {

		public String attempt() {
			return this.headers.get("fulmargap-attempt");
		}

	}

	/**
	 * Writes the answer to one request.
	 */
	public static final class Reply {

		private final Socket socket;

		private final CountDownLatch closed;

		private Reply(Socket socket, CountDownLatch closed) {
			this.socket = socket;
			this.closed = closed;
		}

		public void json(int status, Map<String, String> headers, String body) throws IOException {
			StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
			headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			raw(head + "Content-Length: " + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body);
		}

		public void output(Received request, String output) throws IOException {
			json(200, Map.of("Fulmargap-Attempt", request.attempt(), "Fulmargap-Incarnation", "i1"),
					"{\"output\":\"" + output + "\",\"tokens\":1,\"cached_tokens\":0}");
		}

		public void events(Received request, String events) throws IOException {
			json(200, Map.of("Fulmargap-Attempt", request.attempt(), "Fulmargap-Incarnation", "i1"), events);
		}

		public void raw(String text) throws IOException {
			this.socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
			this.socket.getOutputStream().flush();
		}

		public void reset() throws IOException {
			this.socket.setSoLinger(true, 0);
			this.socket.close();
		}

		public void hang() throws InterruptedException {
			this.closed.await();
		}

	}

}
