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
 * Client of the operator API of entry VMs.
 */
final class AdminClient implements AutoCloseable {

	static final ObjectMapper MAPPER = new ObjectMapper();

	private static final MediaType JSON = MediaType.get("application/json");

	private static final long CONNECT_TIMEOUT_MS = 2_000;

	private final List<AdminAddress> addresses;

	private final ConnectionPool pool = new ConnectionPool(0, 1, TimeUnit.SECONDS);

	private final Dispatcher dispatcher = new Dispatcher();

	private final OkHttpClient client;

	AdminClient(List<AdminAddress> addresses, long timeoutMs) {
		this.addresses = List.copyOf(addresses);
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

	List<AdminAddress> addresses() {
		return this.addresses;
	}

	/**
	 * Sends a GET request to each address in turn until one responds.
	 * @param segments the path segments
	 * @return the first response, whatever its status
	 * @throws CommandException if no address responds
	 */
	AdminResponse read(String... segments) throws CommandException {
		CommandException last = null;
		for (AdminAddress address : this.addresses) {
			try {
				return get(address.url(segments).build(), address);
			}
			catch (CommandException ex) {
				last = ex;
			}
		}
		throw notReachable(last);
	}

	/**
	 * Sends a GET request to one address.
	 * @param url the URL
	 * @param address the address, for the response and error messages
	 * @return the response, whatever its status
	 * @throws CommandException if the address does not respond
	 */
	AdminResponse get(HttpUrl url, AdminAddress address) throws CommandException {
		try {
			return call(new Request.Builder().url(url).build(), address, new AtomicBoolean());
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.NOT_REACHABLE, address + " did not respond: " + firstLine(ex), ex);
		}
	}

	/**
	 * Sends a state-changing request to the first address that can be reached. Once the
	 * request may have been sent, no other address is tried, because the change may have
	 * taken effect.
	 * @param method the HTTP method
	 * @param body the request body
	 * @param segments the path segments
	 * @return the response, whatever its status
	 * @throws CommandException if no address can be reached, or if a request may have
	 * been sent and no response was received
	 */
	AdminResponse send(String method, JsonNode body, String... segments) throws CommandException {
		CommandException last = null;
		for (AdminAddress address : this.addresses) {
			AtomicBoolean sent = new AtomicBoolean();
			try {
				Request request = new Request.Builder().url(address.url(segments).build())
					.method(method, RequestBody.create(body.toString(), JSON))
					.build();
				return call(request, address, sent);
			}
			catch (IOException ex) {
				if (sent.get()) {
					throw new CommandException(ExitCode.OUTCOME_UNKNOWN, "outcome unknown: request sent to " + address
							+ " but no response received: " + firstLine(ex), ex);
				}
				last = new CommandException(ExitCode.NOT_REACHABLE, address + " cannot be reached: " + firstLine(ex),
						ex);
			}
		}
		throw notReachable(last);
	}

	private AdminResponse call(Request request, AdminAddress address, AtomicBoolean sent) throws IOException {
		OkHttpClient monitored = this.client.newBuilder().eventListener(new EventListener() {

			@Override
			public void requestHeadersStart(Call call) {
				sent.set(true);
			}

		}).build();
		try (Response response = monitored.newCall(request).execute()) {
			return new AdminResponse(address, response.code(), parse(response.body().string()));
		}
	}

	private CommandException notReachable(CommandException last) {
		return (this.addresses.size() == 1) ? last : new CommandException(ExitCode.NOT_REACHABLE,
				"none of " + this.addresses.size() + " admin addresses responded; last error: " + last.getMessage(),
				last);
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

	private static String firstLine(IOException ex) {
		return String.valueOf(ex.getMessage()).lines().findFirst().orElse(ex.getClass().getSimpleName());
	}

	@Override
	public void close() {
		this.dispatcher.executorService().shutdown();
		this.pool.evictAll();
	}

}
