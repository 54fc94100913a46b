package org.wigeontally.tool;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import org.testng.annotations.Test;

import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.AgentSettings;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.EntrySettings;
import org.wigeontally.schema.generated.OperatorSettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Compares docs/SETTINGS.md with the schema. Fails if, for instance, a row is missing
 * from the page.
 */
public class SettingsPageTests {

	@Test
	public void pageListsExactlyTheFieldsOfTheSchema() throws IOException {
		String page = Files.readString(Path.of("..", "docs", "SETTINGS.md"));
		Deque<Descriptor> pendingTypes = new ArrayDeque<>(List.of(EntrySettings.getDescriptor(),
				AgentSettings.getDescriptor(), OperatorSettings.getDescriptor(), Bundle.getDescriptor()));
		Set<Descriptor> visitedTypes = new HashSet<>(Set.of(Address.getDescriptor()));
		while (!pendingTypes.isEmpty()) {
			Descriptor message = pendingTypes.poll();
			if (!visitedTypes.add(message)) {
				continue;
			}
			List<String> names = new ArrayList<>();
			for (FieldDescriptor field : message.getFields()) {
				names.add(field.getName());
				if (field.getJavaType() == FieldDescriptor.JavaType.MESSAGE) {
					pendingTypes.add(field.getMessageType());
				}
			}
			assertThat(listedFields(page, message.getName())).as(message.getName()).isEqualTo(names);
		}
	}

	private static List<String> listedFields(String page, String message) {
		int start = page.indexOf("## " + message + "\n");
		assertThat(start).as("section " + message).isNotNegative();
		int end = page.indexOf("\n## ", start + 1);
		return page.substring(start, (end < 0) ? page.length() : end)
			.lines()
			.filter((line) -> line.startsWith("| `"))
			.map((line) -> line.substring(3, line.indexOf('`', 3)))
			.toList();
	}

}
