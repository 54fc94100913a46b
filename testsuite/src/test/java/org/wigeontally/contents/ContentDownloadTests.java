package org.wigeontally.contents;

import java.util.List;
import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.ContentReference;
import org.wigeontally.schema.generated.ContentRequest;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

public class ContentDownloadTests {

	private static final Address OWN = address(1);

	private static final Address NEAR = address(2);

	private static final Address OTHER_NEAR = address(3);

	private static final Address REMOTE = address(4);

	private ContentDownload download;

	private static Address address(int port) {
		return Address.newBuilder().setIp("10.0.0.1").setPort(port).build();
	}

	@BeforeMethod
	public void start() throws ContentException {
		this.download = ContentDownload.start(ContentReference.newBuilder().setCompressedBytes(100).build(), OWN, 0);
	}

	/** The source dies after half of the content. */
	@Test
	public void downloadGoesOnElsewhereWhereItStopped() {
		Address first = this.download.selectSource(List.of(NEAR, OTHER_NEAR), List.of(), 0).orElseThrow();
		this.download.recordPart(first, new byte[50], 10);
		this.download.recordFailure(first, 1_010);
		Address second = this.download.selectSource(List.of(NEAR, OTHER_NEAR), List.of(), 1_010).orElseThrow();
		assertThat(second).isNotEqualTo(first);
		assertThat(this.download.offset()).isEqualTo(50);
		this.download.recordPart(second, new byte[50], 1_020);
		assertThat(this.download.isComplete()).isTrue();
	}

	@Test
	public void ownRegionComesBeforeOthersAndTheSourceInUseBeforeAll() {
		assertThat(this.download.selectSource(List.of(), List.of(REMOTE), 0)).contains(REMOTE);
		assertThat(this.download.selectSource(List.of(NEAR), List.of(REMOTE), 0)).contains(NEAR);
		this.download.recordPart(REMOTE, new byte[10], 1);
		assertThat(this.download.selectSource(List.of(NEAR), List.of(REMOTE), 2)).contains(REMOTE);
		assertThat(this.download.selectSource(List.of(NEAR), List.of(), 2)).contains(NEAR);
		assertThat(this.download.selectSource(List.of(OWN), List.of(), 2)).isEmpty();
	}

	@Test
	public void busySourceNamesOthersAndIsAskedAgainSoon() {
		this.download.recordBusy(NEAR, List.of(OTHER_NEAR), 0);
		assertThat(this.download.selectSource(List.of(NEAR), List.of(), 1)).contains(OTHER_NEAR);
		this.download.recordUnknown(OTHER_NEAR, 1);
		assertThat(this.download.selectSource(List.of(NEAR), List.of(), 2)).isEmpty();
		assertThat(this.download.selectSource(List.of(NEAR), List.of(), 100)).contains(NEAR);
	}

	/**
	 * Its holder serves others of the region first. Those that it turns away would
	 * otherwise all read over the border.
	 */
	@Test
	public void busySourceOfTheOwnRegionComesBeforeOtherRegions() {
		this.download.recordBusy(NEAR, List.of(), 0);
		assertThat(this.download.selectSource(List.of(NEAR), List.of(REMOTE), 1)).isEmpty();
		assertThat(this.download.selectSource(List.of(NEAR), List.of(REMOTE), 100)).contains(NEAR);
		this.download.recordFailure(NEAR, 100);
		assertThat(this.download.selectSource(List.of(NEAR), List.of(REMOTE), 101)).contains(REMOTE);
		this.download.recordBusy(NEAR, List.of(), 200);
		assertThat(this.download.selectSource(List.of(), List.of(REMOTE), 201)).contains(REMOTE);
	}

	/**
	 * The entries of a region read the store if nothing of it receives a content. One
	 * that waits for its turn would otherwise read it as soon as the reader has ended.
	 */
	@Test
	public void downloadThatWaitsForABusySourceIsNotIdle() {
		this.download.recordBusy(NEAR, List.of(), 2_000);
		this.download.selectSource(List.of(NEAR), List.of(), 2_001);
		assertThat(this.download.idleMs(2_100)).isEqualTo(99);
		this.download.recordUnknown(NEAR, 2_200);
		this.download.selectSource(List.of(NEAR), List.of(), 2_201);
		assertThat(this.download.idleMs(2_300)).isEqualTo(299);
	}

	/** An answer without data would otherwise be asked for without end. */
	@Test
	public void emptyPartCountsAsAFailure() {
		this.download.recordPart(NEAR, new byte[0], 0);
		assertThat(this.download.selectSource(List.of(NEAR), List.of(), 1)).isEqualTo(Optional.empty());
		assertThat(this.download.idleMs(700)).isEqualTo(700);
	}

	@Test
	public void partBeyondTheEndIsCutOff() {
		this.download.recordPart(NEAR, new byte[1_000], 0);
		assertThat(this.download.isComplete()).isTrue();
		assertThat(this.download.compressedBytes()).hasSize(100);
		this.download.discard(5);
		assertThat(this.download.isComplete()).isFalse();
		assertThat(this.download.selectSource(List.of(NEAR), List.of(), 6)).isEmpty();
	}

	@Test
	public void sizesThatNoMemoryHoldsAreRejected() {
		for (int size : new int[] { -1, 0, Integer.MAX_VALUE }) {
			ContentReference reference = ContentReference.newBuilder().setCompressedBytes(size).build();
			assertThatThrownBy(() -> ContentDownload.start(reference, OWN, 0)).isInstanceOf(ContentException.class);
		}
	}

	/**
	 * All entries of a region ask at once. If all were served, none could pass anything
	 * on before nearly all were done.
	 */
	@Test
	public void fewAreServedAtATimeAndTheOthersAreToldWhoWas() {
		ContentUploads uploads = ContentUploads.create();
		for (int port = 10; port < 10 + ContentUploads.MAX_RECEIVERS; port++) {
			assertThat(uploads.admit(request(port), 0)).isTrue();
		}
		assertThat(uploads.admit(request(50), 0)).isFalse();
		assertThat(uploads.admit(request(10), 0)).isTrue();
		uploads.recordServed(request(10));
		assertThat(uploads.holders(request(50).getDigest())).containsExactly(address(10));
		assertThat(uploads.admit(request(50), 1)).isTrue();
		// The others do not come back.
		assertThat(uploads.admit(request(51), 2 + ContentUploads.IDLE_MS)).isTrue();
	}

	private static ContentRequest request(int port) {
		return ContentRequest.newBuilder().setEntry(address(port)).build();
	}

}
