# Parameters of the Magnolia deployment. scripts/deploy.sh sources this file.
zones=(se-atl se-bhm se-clt se-jax)
services=(listing-desk:7 cert-vault:4) # name and number of backend servers
owners=(magnolia underwriter)
traced_class=label-verification # the demo shows the trace of a request of this class
