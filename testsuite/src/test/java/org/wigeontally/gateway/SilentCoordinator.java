package org.wigeontally.gateway;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.grpc.server.GrpcServer;

import org.wigeontally.limits.PermitCoordination;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.schema.generated.FleetGrpcService;
import org.wigeontally.schema.generated.FleetService;
import org.wigeontally.schema.generated.PermitReply;
import org.wigeontally.schema.generated.PermitRequest;

/**
 * An entry that exchanges news and is chosen as the coordinator of a backend server, but
 * never answers for permits.
 */
final class SilentCoordinator extends FleetService {

	private final AtomicInteger exchanges = new AtomicInteger();

	private final AtomicInteger inquiries = new AtomicInteger();

	private final EntryNews news;

	private SilentCoordinator(EntryNews news) {
		this.news = news;
	}

	/**
	 * Starts an entry at a port at which it, and not another entry, is the coordinator.
	 * @param vertx the Vert.x instance to run on
	 * @param backendId id of the backend server
	 * @param other control address of the other entry
	 * @return the listening entry
	 */
	static SilentCoordinator listen(Vertx vertx, String backendId, Address other) throws Exception {
		EntryNews otherNews = news(other);
		EntryNews own = news(GatewayFixture.freeAddress());
		while (PermitCoordination.coordinator(backendId, "region-a", otherNews, List.of(own)) != own) {
			own = news(GatewayFixture.freeAddress());
		}
		SilentCoordinator coordinator = new SilentCoordinator(own);
		GrpcServer grpc = GrpcServer.server(vertx);
		grpc.addService(FleetGrpcService.of(coordinator));
		GatewayFixture.await(vertx.createHttpServer()
			.requestHandler(grpc)
			.listen(own.getControl().getPort(), own.getControl().getIp()));
		return coordinator;
	}

	private static EntryNews news(Address control) {
		return EntryNews.newBuilder()
			.setHost("silent")
			.setControl(control)
			.setRegion("region-a")
			.setZone("zone-a")
			.setReady(true)
			.setStoreReachable(true)
			.build();
	}

	Address address() {
		return this.news.getControl();
	}

	boolean isKnown() {
		return this.exchanges.get() > 1;
	}

	int inquiries() {
		return this.inquiries.get();
	}

	@Override
	public Future<EntryNews> exchange(EntryNews request) {
		this.exchanges.incrementAndGet();
		return Future.succeededFuture(this.news);
	}

	@Override
	public Future<PermitReply> acquirePermits(PermitRequest request) {
		this.inquiries.incrementAndGet();
		return Promise.<PermitReply>promise().future();
	}

}
