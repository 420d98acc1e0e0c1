package org.burdocktray.version.bundle;

/**
 * A language model. Thread safety: immutable.
 *
 * @param name the name in callers' requests
 * @param modelVersion the version that the engines must hold
 * @param layers the number of layers; layers are numbered from 0
 * @param activationBytesPerToken the size of the activation of one token on a link
 * @param maxOutputTokens the maximum number of tokens in a response
 */
public record Model(String name, String modelVersion, int layers, long activationBytesPerToken, int maxOutputTokens) {

}
