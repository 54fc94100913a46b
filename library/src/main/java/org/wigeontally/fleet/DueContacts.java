package org.wigeontally.fleet;

import java.util.List;

import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EntryNews;

/**
 * The entries to contact in one round.
 *
 * @param calls control addresses of the entries to call
 * @param heartbeats last messages of the entries that get a heartbeat
 */
public record DueContacts(List<Address> calls, List<EntryNews> heartbeats) {

}
