import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * A stand-in of the platform's store: the log calls that PROTOCOL describes, without
 * groups. Nothing expires.
 */
final class LogStore implements AutoCloseable {

	private HttpServer http;

	private String address;

	private final Map<String, Topic> topics = new HashMap<>();

	LogStore(String ip) throws IOException {
		open(ip);
	}

	/**
	 * Serves at a further address from now on, with the same records. Returns what stops
	 * the service at the address before.
	 */
	Runnable open(String ip) throws IOException {
		HttpServer previous = this.http;
		this.http = HttpServer.create(new InetSocketAddress(ip, 0), 200);
		this.address = ip + ':' + this.http.getAddress().getPort();
		this.http.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "store");
			thread.setDaemon(true);
			return thread;
		}));
		this.http.createContext("/", this::handle);
		this.http.start();
		return () -> previous.stop(0);
	}

	String address() {
		return this.address;
	}

	/** Writes a keyed record as the operator or a server does; null removes the key. */
	synchronized void put(String topic, String key, String value) {
		byte[] name = key.getBytes(StandardCharsets.UTF_8);
		byte[] content = (value != null) ? value.getBytes(StandardCharsets.UTF_8) : new byte[0];
		byte[] record = new byte[1 + name.length + content.length];
		record[0] = (byte) name.length;
		System.arraycopy(name, 0, record, 1, name.length);
		System.arraycopy(content, 0, record, 1 + name.length, content.length);
		topic(topic).add(record);
		notifyAll();
	}

	private Topic topic(String name) {
		return this.topics.computeIfAbsent(name, (key) -> new Topic());
	}

	private void handle(HttpExchange exchange) throws IOException {
		try {
			Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
			String topic = query.get("topic");
			byte[] body = exchange.getRequestBody().readAllBytes();
			switch (exchange.getRequestURI().getPath()) {
				case "/log-read" -> answer(exchange, 200, read(topic, query));
				case "/log-newest" -> answer(exchange, 200, newest(topic));
				case "/log-append" -> append(exchange, topic, query, body);
				default -> answer(exchange, 404, new byte[0]);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (RuntimeException ex) {
			answer(exchange, 400, new byte[0]);
		}
		finally {
			exchange.close();
		}
	}

	private static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
		exchange.sendResponseHeaders(status, (body.length > 0) ? body.length : -1);
		if (body.length > 0) {
			exchange.getResponseBody().write(body);
		}
	}

	private synchronized byte[] read(String name, Map<String, String> query) throws InterruptedException, IOException {
		Topic topic = topic(name);
		int from = Integer.parseInt(query.get("from"));
		long endMs = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait-ms", "0"));
		while (topic.records.size() <= from && System.currentTimeMillis() < endMs) {
			wait(Math.max(1, endMs - System.currentTimeMillis()));
		}
		long limit = Long.parseLong(query.getOrDefault("max-kb", "1024")) * 1024;
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		DataOutputStream out = new DataOutputStream(bytes);
		out.writeLong(topic.records.size());
		out.writeLong(0);
		for (int i = from; i < topic.records.size() && bytes.size() < limit; i++) {
			out.writeInt(topic.records.get(i).length);
			out.write(topic.records.get(i));
		}
		return bytes.toByteArray();
	}

	private synchronized byte[] newest(String name) {
		Topic topic = topic(name);
		List<String> items = new ArrayList<>();
		topic.newest.forEach((key, offset) -> {
			byte[] record = topic.records.get(offset);
			int begin = 1 + (record[0] & 0xff);
			byte[] value = java.util.Arrays.copyOfRange(record, begin, record.length);
			items.add("{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
					+ "\",\"offset\":" + offset + "}");
		});
		return ("{\"items\":[" + String.join(",", items) + "],\"truncated\":false,\"end\":" + topic.records.size() + "}")
			.getBytes(StandardCharsets.UTF_8);
	}

	private void append(HttpExchange exchange, String name, Map<String, String> query, byte[] body)
			throws IOException {
		if (name.equals("keyed.op") || name.equals("keyed.servers")) {
			answer(exchange, 403, new byte[0]);
			return;
		}
		int status = 200;
		String text;
		synchronized (this) {
			Topic topic = topic(name);
			int first = topic.records.size();
			if (query.containsKey("at") && Integer.parseInt(query.get("at")) != first) {
				status = 412;
				text = "{\"end\":" + first + "}";
			}
			else {
				ByteBuffer records = ByteBuffer.wrap(body);
				while (records.remaining() >= 4) {
					byte[] record = new byte[records.getInt()];
					records.get(record);
					topic.add(record);
				}
				notifyAll();
				text = "{\"offset\":" + first + ",\"end\":" + topic.records.size() + "}";
			}
		}
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		answer(exchange, status, text.getBytes(StandardCharsets.UTF_8));
	}

	private static Map<String, String> query(String raw) {
		Map<String, String> query = new HashMap<>();
		for (String pair : ((raw != null) ? raw : "").split("&")) {
			int equals = pair.indexOf('=');
			if (equals > 0) {
				query.put(pair.substring(0, equals),
						URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
			}
		}
		return query;
	}

	@Override
	public void close() {
		this.http.stop(0);
	}

	private static final class Topic {

		private final List<byte[]> records = new ArrayList<>();

		private final Map<String, Integer> newest = new TreeMap<>();

		private void add(byte[] record) {
			int length = record[0] & 0xff;
			String key = new String(record, 1, length, StandardCharsets.UTF_8);
			this.records.add(record);
			if (record.length == 1 + length) {
				this.newest.remove(key);
			}
			else {
				this.newest.put(key, this.records.size() - 1);
			}
		}

	}

}
