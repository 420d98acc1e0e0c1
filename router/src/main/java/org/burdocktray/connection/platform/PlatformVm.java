package org.burdocktray.connection.platform;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;

/**
 * A VM in the platform's list, which is seconds behind the actual state. Thread safety:
 * immutable.
 *
 * @param name the name of the entry VM or upstream
 * @param dataCentre the data centre in which it runs
 * @param address its address
 * @param leaving whether the platform reports it as leaving
 */
public record PlatformVm(String name, DataCentre dataCentre, NetworkAddress address, boolean leaving) {

}
