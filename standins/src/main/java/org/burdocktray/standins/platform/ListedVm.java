package org.burdocktray.standins.platform;

/**
 * A VM in the platform's list. Thread safety: immutable.
 *
 * @param name the name
 * @param dataCentre the data centre
 * @param address the address
 * @param state {@code live} or {@code leaving}
 */
public record ListedVm(String name, String dataCentre, String address, String state) {
}
