import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A sound store of the platform: keyed topics with one partition, kept in memory. */
final class Store implements AutoCloseable {

	static final String OPERATOR = "keyed.op";

	static final String SERVERS = "keyed.servers";

	private static final int PAGE_ITEMS = 500;

	private final HttpServer server;

	private final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	});

	private final Map<String, Topic> topics = new HashMap<>();

	Store() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
		this.server.setExecutor(this.threads);
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	void put(String topic, String key, String value) {
		byte[] name = key.getBytes(StandardCharsets.UTF_8);
		byte[] text = value.getBytes(StandardCharsets.UTF_8);
		byte[] content = new byte[1 + name.length + text.length];
		content[0] = (byte) name.length;
		System.arraycopy(name, 0, content, 1, name.length);
		System.arraycopy(text, 0, content, 1 + name.length, text.length);
		topic(topic).append(content);
	}

	private synchronized Topic topic(String name) {
		return this.topics.computeIfAbsent(name, (key) -> new Topic());
	}

	private void handle(HttpExchange exchange) throws IOException {
		try (exchange) {
			Map<String, String> query = query(exchange);
			Topic topic = topic(query.getOrDefault("topic", ""));
			byte[] body = exchange.getRequestBody().readAllBytes();
			byte[] answer = switch (exchange.getRequestURI().getPath()) {
				case "/log-append" -> topic.appendAll(body);
				case "/log-read" -> topic.read(Long.parseLong(query.get("from")),
						Long.parseLong(query.getOrDefault("wait-ms", "0")));
				case "/log-newest" -> topic.newest(query.get("after"));
				default -> null;
			};
			if (answer == null) {
				exchange.sendResponseHeaders(404, -1);
				return;
			}
			exchange.sendResponseHeaders(200, answer.length);
			exchange.getResponseBody().write(answer);
		}
	}

	private static Map<String, String> query(HttpExchange exchange) {
		Map<String, String> query = new HashMap<>();
		String raw = exchange.getRequestURI().getRawQuery();
		for (String pair : (raw != null) ? raw.split("&") : new String[0]) {
			int equals = pair.indexOf('=');
			query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
		}
		return query;
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.threads.shutdownNow();
	}

	private static final class Topic {

		private final List<byte[]> records = new ArrayList<>();

		private final TreeMap<String, Long> newest = new TreeMap<>();

		synchronized long append(byte[] content) {
			int keyLength = content[0] & 0xff;
			String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
			this.records.add(content);
			if (content.length == 1 + keyLength) {
				this.newest.remove(key);
			}
			else {
				this.newest.put(key, this.records.size() - 1L);
			}
			notifyAll();
			return this.records.size() - 1;
		}

		synchronized byte[] appendAll(byte[] body) throws IOException {
			DataInputStream in = new DataInputStream(new ByteArrayInputStream(body));
			long first = this.records.size();
			while (in.available() > 0) {
				byte[] content = new byte[in.readInt()];
				in.readFully(content);
				append(content);
			}
			return text("{\"offset\":" + first + ",\"end\":" + this.records.size() + "}");
		}

		synchronized byte[] read(long from, long waitMs) throws IOException {
			long untilMs = System.currentTimeMillis() + waitMs;
			try {
				while (from >= this.records.size() && System.currentTimeMillis() < untilMs) {
					wait(Math.max(1, untilMs - System.currentTimeMillis()));
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			DataOutputStream out = new DataOutputStream(bytes);
			out.writeLong(this.records.size());
			out.writeLong(0);
			for (long i = from; i < this.records.size(); i++) {
				byte[] content = this.records.get((int) i);
				out.writeInt(content.length);
				out.write(content);
			}
			return bytes.toByteArray();
		}

		synchronized byte[] newest(String after) {
			Map<String, Long> rest = (after != null) ? this.newest.tailMap(after, false) : this.newest;
			List<String> items = new ArrayList<>();
			for (Map.Entry<String, Long> entry : rest.entrySet()) {
				if (items.size() == PAGE_ITEMS) {
					break;
				}
				byte[] content = this.records.get(entry.getValue().intValue());
				byte[] value = Arrays.copyOfRange(content, 1 + (content[0] & 0xff), content.length);
				items.add("{\"key\":\"" + entry.getKey() + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
						+ "\",\"offset\":" + entry.getValue() + "}");
			}
			boolean truncated = items.size() < rest.size();
			return text("{\"items\":[" + String.join(",", items) + "],\"truncated\":" + truncated + ",\"end\":"
					+ this.records.size() + "}");
		}

		private static byte[] text(String text) {
			return text.getBytes(StandardCharsets.UTF_8);
		}

	}

}
