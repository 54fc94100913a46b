package org.wigeontally.settings;

import org.testng.annotations.Test;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.errors.InputException;
import org.wigeontally.schema.generated.EntrySettings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

public class SettingsReaderTests {

	@Test
	public void readsAddressGivenAsString() throws InputException {
		EntrySettings settings = read("host: e1\nlisten: 127.0.0.1:7000\n");
		assertThat(settings.getHost()).isEqualTo("e1");
		assertThat(settings.getListen().getIp()).isEqualTo("127.0.0.1");
		assertThat(settings.getListen().getPort()).isEqualTo(7000);
	}

	@Test
	public void reportsAllFaultsWithTheirLocations() {
		InputException exception = catchThrowableOfType(InputException.class,
				() -> read("host: e1\nzoen: a\nlisten: localhost:7000\ndrain_ms: soon\n"));
		assertThat(exception.findings()).extracting((finding) -> finding.getNumber())
			.containsExactly(ErrorType.UNKNOWN_KEY.number(), ErrorType.BAD_ADDRESS.number(),
					ErrorType.WRONG_TYPE.number());
		assertThat(exception.findings()).extracting((finding) -> finding.getPlace())
			.containsExactly("entry.yaml:2:1", "entry.yaml:3:9", "entry.yaml:4:11");
	}

	@Test
	public void reportsInvalidYaml() {
		InputException exception = catchThrowableOfType(InputException.class, () -> read("host: [e1\n"));
		assertThat(exception.findings()).hasSize(1);
		assertThat(exception.findings().get(0).getNumber()).isEqualTo(ErrorType.YAML_SYNTAX.number());
	}

	private static EntrySettings read(String text) throws InputException {
		return SettingsReader.read("entry.yaml", text, EntrySettings.newBuilder(), (settings, locations, findings) -> {
		}).build();
	}

}
