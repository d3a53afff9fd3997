package org.fulmargap.cli;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.EventListener;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * Calls the operator interface of entry VMs.
 */
final class AdminClient implements AutoCloseable {

	static final ObjectMapper MAPPER = new ObjectMapper();

	private static final MediaType JSON = MediaType.get("application/json");

	private static final long CONNECT_TIMEOUT_MS = 2_000;

	private final List<AdminAddress> admins;

	private final ConnectionPool pool = new ConnectionPool(0, 1, TimeUnit.SECONDS);

	private final Dispatcher dispatcher = new Dispatcher();

	private final OkHttpClient client;

	AdminClient(List<AdminAddress> admins, long timeoutMs) {
		this.admins = List.copyOf(admins);
		this.client = new OkHttpClient.Builder().connectionPool(this.pool)
			.dispatcher(this.dispatcher)
			.connectTimeout(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
			.readTimeout(timeoutMs, TimeUnit.MILLISECONDS)
			.writeTimeout(timeoutMs, TimeUnit.MILLISECONDS)
			.callTimeout(timeoutMs, TimeUnit.MILLISECONDS)
			.retryOnConnectionFailure(false)
			.followRedirects(false)
			.build();
	}

	List<AdminAddress> admins() {
		return this.admins;
	}

	/**
	 * Reads from the first address that answers.
	 * @param segments the segments of the path
	 * @return the answer
	 * @throws CommandException if no address answers
	 */
	AdminReply read(String... segments) throws CommandException {
		CommandException last = null;
		for (AdminAddress admin : this.admins) {
			try {
				return get(admin.url(segments).build(), admin);
			}
			catch (CommandException ex) {
				last = ex;
			}
		}
		throw notReachable(last);
	}

	/**
	 * Reads from one address.
	 * @param url the URL
	 * @param admin the address
	 * @return the answer
	 * @throws CommandException if the address does not answer
	 */
	AdminReply get(HttpUrl url, AdminAddress admin) throws CommandException {
		try {
			return call(new Request.Builder().url(url).build(), admin, new AtomicBoolean());
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.NOT_REACHABLE, admin + " does not answer: " + text(ex), ex);
		}
	}

	/**
	 * Sends an order to the first address that can be reached. Once a request may have
	 * been sent, no other address is tried, because the order may have taken effect.
	 * @param method the HTTP method
	 * @param body the body
	 * @param segments the segments of the path
	 * @return the answer
	 * @throws CommandException if no address can be reached or the answer is lost
	 */
	AdminReply send(String method, JsonNode body, String... segments) throws CommandException {
		CommandException last = null;
		for (AdminAddress admin : this.admins) {
			AtomicBoolean sent = new AtomicBoolean();
			try {
				Request request = new Request.Builder().url(admin.url(segments).build())
					.method(method, RequestBody.create(body.toString(), JSON))
					.build();
				return call(request, admin, sent);
			}
			catch (IOException ex) {
				if (sent.get()) {
					throw new CommandException(ExitCode.OUTCOME_UNKNOWN,
							"outcome unknown: the answer of " + admin + " was lost: " + text(ex), ex);
				}
				last = new CommandException(ExitCode.NOT_REACHABLE, admin + " cannot be reached: " + text(ex), ex);
			}
		}
		throw notReachable(last);
	}

	private AdminReply call(Request request, AdminAddress admin, AtomicBoolean sent) throws IOException {
		OkHttpClient observed = this.client.newBuilder().eventListener(new EventListener() {

			@Override
			public void requestHeadersStart(Call call) {
				sent.set(true);
			}

		}).build();
		try (Response response = observed.newCall(request).execute()) {
			return new AdminReply(admin, response.code(), parse(response.body().string()));
		}
	}

	private CommandException notReachable(CommandException last) {
		return (this.admins.size() == 1) ? last : new CommandException(ExitCode.NOT_REACHABLE,
				"none of " + this.admins.size() + " admin addresses can be reached; last: " + last.getMessage(), last);
	}

	private static JsonNode parse(String body) {
		try {
			JsonNode node = MAPPER.readTree(body);
			return (node != null) ? node : MissingNode.getInstance();
		}
		catch (JsonProcessingException ex) {
			return MissingNode.getInstance();
		}
	}

	private static String text(IOException ex) {
		return String.valueOf(ex.getMessage()).lines().findFirst().orElse(ex.getClass().getSimpleName());
	}

	@Override
	public void close() {
		this.dispatcher.executorService().shutdown();
		this.pool.evictAll();
	}

}
