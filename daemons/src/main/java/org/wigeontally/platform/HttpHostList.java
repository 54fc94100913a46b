package org.wigeontally.platform;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

import org.wigeontally.schema.generated.Address;
import org.wigeontally.settings.Addresses;

/**
 * Client of the platform's list of hosts, which lags behind, over HTTP.
 * {@code GET /hosts} returns {@code {"hosts": [{"host", "address", "role", "leaving"}]}}.
 * A failed read does not mean that hosts are gone.
 */
public final class HttpHostList implements AutoCloseable {

	private static final long TIMEOUT_MS = 2000;

	private static final String ENTRY_ROLE = "entry";

	private final HttpClient client;

	private final Address address;

	private HttpHostList(HttpClient client, Address address) {
		this.client = client;
		this.address = address;
	}

	/**
	 * Creates a client.
	 * @param vertx the Vert.x instance to use
	 * @param address address of the host list service
	 * @return the client
	 */
	public static HttpHostList create(Vertx vertx, Address address) {
		return new HttpHostList(vertx.createHttpClient(), address);
	}

	/**
	 * Reads the list.
	 * @return the hosts; those with an invalid address are left out
	 */
	public Future<List<ListedHost>> read() {
		RequestOptions options = new RequestOptions().setMethod(HttpMethod.GET)
			.setHost(this.address.getIp())
			.setPort(this.address.getPort())
			.setURI("/hosts")
			.setConnectTimeout(TIMEOUT_MS)
			.setIdleTimeout(TIMEOUT_MS);
		return this.client.request(options)
			.compose((request) -> request.send())
			.compose(HttpClientResponse::body)
			.compose(HttpHostList::parse);
	}

	private static Future<List<ListedHost>> parse(Buffer body) {
		List<ListedHost> hosts = new ArrayList<>();
		try {
			for (Object each : body.toJsonObject().getJsonArray("hosts")) {
				JsonObject host = (JsonObject) each;
				Addresses.parse(host.getString("address", ""))
					.ifPresent((address) -> hosts.add(new ListedHost(host.getString("host", ""), address,
							ENTRY_ROLE.equals(host.getString("role")), host.getBoolean("leaving", false))));
			}
		}
		catch (DecodeException | ClassCastException | NullPointerException ex) {
			return Future.failedFuture(ex);
		}
		return Future.succeededFuture(hosts);
	}

	@Override
	public void close() {
		this.client.close();
	}

}
