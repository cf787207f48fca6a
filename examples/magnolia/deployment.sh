# The deployment of Magnolia, for the scripts.
zones=(se-atl se-bhm se-clt se-jax)
services=(listing-desk:7 cert-vault:4) # name and number of backend servers
owners=(magnolia underwriter)
traced=label-verification # class of the request that the demo shows hop by hop
