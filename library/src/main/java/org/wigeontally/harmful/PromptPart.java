package org.wigeontally.harmful;

/**
 * A part of a prompt that many requests of a service can share. Immutable.
 *
 * @param service service that reads the prompt
 * @param id id of the part, as its callers name it
 */
public record PromptPart(String service, String id) {

}
